import type { LocatedFault } from "./LocatedFault.js";

/** Puts faults into the order of the text. */
export function sortFaults(faults: readonly LocatedFault[]): readonly LocatedFault[] {
    return [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
}
