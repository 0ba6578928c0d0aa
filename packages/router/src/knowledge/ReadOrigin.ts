import type { Millis } from "@azureshunt/core";

/** Where a declaration was read. */
export type ReadOrigin = {
    readonly from: "store" | "relay" | "peer";
    /** Address of the peer, if it was read from one. */
    readonly address?: string;
    /** Offset of the record in the topic; `undefined` if it was not read from the topic. */
    readonly offset?: number;
    /** Time from the request to its answer, with the time for which a read waited in the store. */
    readonly readMs: Millis;
};
