import type { Millis } from "@azureshunt/core";

import type { KindLoad } from "./KindLoad.js";
import { loadTiming } from "./loadTiming.js";

/** Returns from which lag on the objectives of the most urgent kinds are in danger. */
export function lagLimitMs(kinds: Iterable<KindLoad>): Millis {
    const { priority, objectiveMs } = [...kinds].reduce(
        (most, { kind }) =>
            kind.priority < most.priority
                ? kind
                : kind.priority > most.priority || kind.objectiveMs > most.objectiveMs
                ? most
                : kind,
        { priority: Infinity, objectiveMs: Infinity },
    );
    return priority === Infinity ? Infinity : Math.max(loadTiming.minLagMs, objectiveMs * loadTiming.lagFraction);
}
