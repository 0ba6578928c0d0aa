import type { FailureDomain, ServiceName } from "@azureshunt/core";

/** An endpoint as the far end of an own link. */
export type LinkTarget = {
    /** `host:port`. */
    readonly address: string;
    readonly service: ServiceName;
    readonly failureDomain: FailureDomain;
};
