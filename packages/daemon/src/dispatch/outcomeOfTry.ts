import type { PlacementOutcome } from "../ports/PlacementOutcome.js";
import type { TryEnd } from "./TryEnd.js";

/** What the chooser of endpoints is told of a failed try. */
export function outcomeOfTry(end: TryEnd): PlacementOutcome {
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
