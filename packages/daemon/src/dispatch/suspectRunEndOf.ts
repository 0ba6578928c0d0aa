import type { SuspectRunEnd } from "../ports/SuspectRunEnd.js";
import type { TryEnd } from "./TryEnd.js";

/**
 * Returns what the end of a try shows about whether its endpoint died.
 *
 * @param end undefined if the answer is complete
 */
export function suspectRunEndOf(end: TryEnd | undefined): SuspectRunEnd {
    switch (end?.kind) {
        case undefined:
            return "complete";
        case "silent":
            return "silent";
        case "failed":
        case "died":
        case "gap":
        case "crossed":
            return "broke";
        case "unreached":
        case "refused":
        case "cancelled":
        case "stopped":
        case "unplaced":
            return "cancelled";
    }
}
