import type { FailureDomain, VmId } from "@azureshunt/core";

/** A peer that may know where streams began. */
export type Peer = {
    readonly vm: VmId;
    /** `host:port` of its listener for peers. */
    readonly address: string;
    readonly failureDomain: FailureDomain | undefined;
};
