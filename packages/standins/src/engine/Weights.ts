import type { Holding } from "./Holding.js";

/** Weights and role of an engine; orders change them. */
export type Weights = {
    readonly holds: readonly Holding[];
    readonly loading: readonly Holding[];
    readonly role: string;
    /** The fencing number of the newest order executed. */
    readonly fencing: number;
};
