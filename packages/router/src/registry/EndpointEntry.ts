import type { EndpointName, FailureDomain, ModelName, ServiceName } from "@azureshunt/core";

/** An endpoint's own record in the registry. */
export type EndpointEntry = {
    /** Usually new with each incarnation of the endpoint. */
    readonly name: EndpointName;
    readonly service: ServiceName;
    /** `host:port`. */
    readonly address: string;
    readonly failureDomain: FailureDomain;
    readonly isLeaving: boolean;
    readonly slots: number;
    /** Version of its software; undefined if it states none. */
    readonly softwareVersion: string | undefined;
    /** Versions of the weights that it holds, by model. */
    readonly versions: ReadonlyMap<ModelName, number>;
    /** Start of this incarnation, in milliseconds since the epoch; distinguishes incarnations under one name. */
    readonly bornAt: number;
};
