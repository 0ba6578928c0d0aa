import type { LocatedFault } from "./LocatedFault.js";

/** Sorts faults by their position in the text. */
export function sortFaults(faults: readonly LocatedFault[]): readonly LocatedFault[] {
    return [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
}
