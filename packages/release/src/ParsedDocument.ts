import type { FieldPath } from "./FieldPath.js";
import type { LocatedFault } from "./LocatedFault.js";
import type { NoteFault } from "./NoteFault.js";

/** A validated value, with the positions of its fields in the text that it was parsed from. */
export type ParsedDocument<Value> = {
    readonly value: Value;
    /** Adds the position in the text to a fault that was found later. */
    readonly locate: (fault: NoteFault) => LocatedFault;
    /** Returns the position of a field, or of the nearest enclosing field if it is missing; counted from 1. */
    readonly positionOf: (path: FieldPath) => { readonly line: number; readonly column: number; };
};
