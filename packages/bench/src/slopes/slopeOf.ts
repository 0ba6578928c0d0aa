import { fitLine } from "./fitLine.js";
import type { Slope } from "./Slope.js";

/** Creates a slope from its points, with a line fitted to them. */
export function slopeOf(measured: Pick<Slope, "name" | "item" | "unit" | "points">): Slope {
    return { ...measured, ...fitLine(measured.points) };
}
