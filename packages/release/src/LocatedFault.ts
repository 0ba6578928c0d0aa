import type { NoteFault } from "./NoteFault.js";

/** A fault with its position in the text; lines and columns are counted from 1. */
export type LocatedFault = NoteFault & {
    readonly line: number;
    readonly column: number;
};
