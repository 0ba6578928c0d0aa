import type { FailureDomain, VmId } from "@azureshunt/core";

/** A live peer that may be asked to open a connection. */
export type Peer = {
    readonly vm: VmId;
    /** `host:port` of its listener for peers. */
    readonly address: string;
    readonly failureDomain: FailureDomain | undefined;
};
