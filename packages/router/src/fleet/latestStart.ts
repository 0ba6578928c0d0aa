import type { Millis } from "@azureshunt/core";

import { orderTiming } from "./orderTiming.js";

type StartView = {
    /** The engine's start by its registry entry, in milliseconds since the epoch; 0 if not stated. */
    readonly entryBornAt: number;
    /** The same by the engine's last report; undefined if not stated. */
    readonly reportBornAt: number | undefined;
    /** When this VM learned of the incarnation that the entry names. */
    readonly knownSince: Millis;
    /** This VM's wall clock, in milliseconds since the epoch. */
    readonly epoch: number;
    readonly now: Millis;
};

/** Returns the latest time, on the clock of `now`, at which an engine's process can have started. */
export function latestStart({ entryBornAt, reportBornAt, knownSince, epoch, now }: StartView): Millis {
    if (entryBornAt === 0 || reportBornAt === undefined) {
        return knownSince;
    }
    // The engine's wall clock was stepped back between two starts, so the registry keeps the entry of the earlier one.
    if (reportBornAt !== entryBornAt) {
        return now;
    }
    const ageMs = epoch - entryBornAt - orderTiming.wallClockToleranceMs;
    return Math.min(knownSince, now - ageMs);
}
