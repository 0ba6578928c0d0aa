import type { PlacementOutcome } from "../ports/PlacementOutcome.js";
import type { TryEnd } from "./TryEnd.js";

/** Returns the outcome of a failed try as reported to the placement. */
export function placementOutcomeOf(end: TryEnd): PlacementOutcome {
    switch (end.kind) {
        case "refused":
            return "refused";
        case "cancelled":
        case "stopped":
        case "unplaced":
            return "cancelled";
        case "unreached":
        case "failed":
        case "died":
        case "silent":
        case "gap":
        case "crossed":
            return "died";
    }
}
