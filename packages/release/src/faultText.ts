import type { LocatedFault } from "./LocatedFault.js";
import type { NoteFault } from "./NoteFault.js";
import { pathText } from "./pathText.js";

/** Formats a fault as one line: position if known, field, value found, values allowed. */
export function faultText(fault: NoteFault | LocatedFault): string {
    const place = "line" in fault ? `${fault.line}:${fault.column} ` : "";
    const field = fault.path.length === 0 ? "document" : pathText(fault.path);
    return `${place}${field}: found ${fault.found}; allowed: ${fault.allowed}`;
}
