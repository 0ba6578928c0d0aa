import { fitLine } from "./fitLine.js";
import type { Slope } from "./Slope.js";

/** Makes a slope of its measured points. */
export function slopeOf(given: Pick<Slope, "name" | "item" | "unit" | "points">): Slope {
    return { ...given, ...fitLine(given.points) };
}
