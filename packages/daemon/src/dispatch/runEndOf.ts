import type { SuspectRunEnd } from "../ports/SuspectRunEnd.js";
import type { TryEnd } from "./TryEnd.js";

/** What the end of a try says about its endpoint having died; undefined for a complete answer. */
export function runEndOf(end: TryEnd | undefined): SuspectRunEnd {
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
