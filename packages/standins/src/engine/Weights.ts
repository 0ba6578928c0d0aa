import type { Holding } from "./Holding.js";

/** What an engine holds and does. */
export type Weights = {
    readonly holds: readonly Holding[];
    readonly loading: readonly Holding[];
    readonly role: string;
    /** The fencing number of the newest order executed. */
    readonly fencing: number;
};
