import type { Millis } from "@azureshunt/core";

import type { LoadState } from "./LoadState.js";
import { loadTiming } from "./loadTiming.js";

const MS_PER_SECOND = 1_000;

/** Returns in what time a VM refuses nothing any more if its ticks are in time from now on. */
export function shedEndsInMs({ shedFraction }: Pick<LoadState, "shedFraction">): Millis {
    return shedFraction * MS_PER_SECOND / loadTiming.decreasePerSecond;
}
