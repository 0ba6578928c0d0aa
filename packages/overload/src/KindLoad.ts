import type { LoadKind } from "./LoadKind.js";

/** Recent requests of one kind, and which fraction of its next ones is refused. */
export type KindLoad = {
    readonly kind: LoadKind;
    /** Requests, older ones counted less. */
    readonly recent: number;
    readonly refusedFraction: number;
};
