import type { EndpointName, FailureDomain, ModelName, ServiceName } from "@azureshunt/core";

/** What an endpoint says of itself in the registry. */
export type EndpointEntry = {
    /** New with each run of the endpoint, mostly. */
    readonly name: EndpointName;
    readonly service: ServiceName;
    /** `host:port`. */
    readonly address: string;
    readonly failureDomain: FailureDomain;
    readonly isLeaving: boolean;
    readonly slots: number;
    /** Versions of the weights that it holds, by model. */
    readonly versions: ReadonlyMap<ModelName, number>;
    /** Start of this run, in milliseconds since the epoch; tells two runs under one name apart. */
    readonly bornAt: number;
};
