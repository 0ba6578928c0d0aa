import type { NoteFault } from "./NoteFault.js";

/** A fault with its place in the text; lines and columns count from 1. */
export type LocatedFault = NoteFault & {
    readonly line: number;
    readonly column: number;
};
