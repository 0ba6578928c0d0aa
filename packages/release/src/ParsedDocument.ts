import type { FieldPath } from "./FieldPath.js";
import type { LocatedFault } from "./LocatedFault.js";
import type { NoteFault } from "./NoteFault.js";

/** A checked value together with the places of its fields in the text that it was read from. */
export type ParsedDocument<Value> = {
    readonly value: Value;
    /** Gives a fault that was found later its place in the text. */
    readonly locate: (fault: NoteFault) => LocatedFault;
    /** Where a field stands; the nearest enclosing one where it is left out. Counted from 1. */
    readonly positionOf: (path: FieldPath) => { readonly line: number; readonly column: number; };
};
