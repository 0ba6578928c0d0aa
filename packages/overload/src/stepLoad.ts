import type { Millis } from "@azureshunt/core";

import { divideShed } from "./divideShed.js";
import type { KindArrivals } from "./KindArrivals.js";
import type { KindLoad } from "./KindLoad.js";
import { lagLimitMs } from "./lagLimitMs.js";
import type { LoadEvent } from "./LoadEvent.js";
import type { LoadKind } from "./LoadKind.js";
import type { LoadState } from "./LoadState.js";
import { loadTiming } from "./loadTiming.js";
import { stepRecents } from "./stepRecents.js";

const MS_PER_SECOND = 1_000;
/** Below this, a kind counts as not requested any more, and a lag as none. */
const NEGLIGIBLE = 0.05;
/** Longest time that one tick stands for: what a longer pause says of the load is no more. */
const MAX_ELAPSED_MS = 500;
/** Fraction of the lag limit below which ticks count as in time; between the two, the refused fraction is kept. */
const QUIET_FRACTION = 0.5;

const NO_PRIORITIES: LoadState["priorities"] = new Map();

const kindsAfter = (
    before: LoadState["kinds"],
    arrivals: readonly KindArrivals[],
    elapsedMs: Millis,
): readonly KindLoad[] => {
    const decay = Math.exp(-elapsedMs / loadTiming.recentMs);
    const arrived = new Map<string, { readonly kind: LoadKind; readonly count: number; }>();
    arrivals.forEach(({ kind, count }) =>
        arrived.set(kind.name, { kind, count: (arrived.get(kind.name)?.count ?? 0) + count })
    );
    const known = [...before.values()].map(load => ({
        ...load,
        recent: load.recent * decay + (arrived.get(load.kind.name)?.count ?? 0),
    }));
    const added = [...arrived.values()].filter(({ kind }) => !before.has(kind.name))
        .map(({ kind, count }) => ({ kind, recent: count, refusedFraction: 0 }));
    return [...known, ...added].filter(({ recent }) => recent > NEGLIGIBLE);
};

const prioritiesAfter = (
    before: LoadState["priorities"],
    arrivals: readonly KindArrivals[],
    elapsedMs: Millis,
): LoadState["priorities"] => {
    const priorities = [...new Set([...before.keys(), ...arrivals.map(({ kind }) => kind.priority)])];
    return new Map(
        priorities.map(priority => {
            const ofPriority = arrivals.filter(({ kind }) => kind.priority === priority);
            const recents = stepRecents(before.get(priority)?.recents ?? new Map(), ofPriority, elapsedMs);
            return [priority, { recents, share: undefined }] as const;
        }).filter(([, { recents }]) => recents.size > 0),
    );
};

const shedAfter = (
    { shedFraction, peakLagMs }: LoadState,
    { lagMs, elapsedMs, kinds }: {
        readonly lagMs: Millis;
        readonly elapsedMs: Millis;
        readonly kinds: readonly KindLoad[];
    },
): number => {
    const recent = kinds.reduce((sum, load) => sum + load.recent, 0);
    const limitMs = lagLimitMs(kinds);
    const seconds = Math.min(MAX_ELAPSED_MS, elapsedMs) / MS_PER_SECOND;
    if (lagMs > limitMs && recent >= loadTiming.minRecent) {
        const excess = Math.min(loadTiming.maxExcess, lagMs / limitMs - 1);
        const isFirst = shedFraction === 0 && peakLagMs < limitMs * QUIET_FRACTION;
        const growth = seconds * loadTiming.growthPerSecond * excess;
        return Math.min(1, shedFraction + Math.min(isFirst ? loadTiming.maxFirstGrowth : loadTiming.maxGrowth, growth));
    }
    const isQuiet = Math.max(lagMs, peakLagMs) < limitMs * QUIET_FRACTION;
    const decrease = isQuiet ? loadTiming.quietDecreasePerSecond : loadTiming.decreasePerSecond;
    return lagMs > limitMs * QUIET_FRACTION ? shedFraction : Math.max(0, shedFraction - seconds * decrease);
};

/**
 * Returns the state after a tick. Load: a VM with a tenth of a core gets more requests than it has CPU time for.
 *
 * The lag is taken from a timer that runs anyway, so it costs an idle VM nothing. While the lag endangers the
 * objectives of the most urgent kind, the fraction of requests to refuse grows; it shrinks again once ticks are in time.
 */
export function stepLoad(state: LoadState, { ticks, arrivals }: LoadEvent): LoadState {
    const lagMs = ticks.lagMs - ticks.pausedMs;
    const elapsedMs = ticks.tickAt - ticks.previousTickAt;
    const peakLagMs = Math.max(lagMs, state.peakLagMs * loadTiming.peakDecay);
    if (arrivals.length === 0 && state.kinds.size === 0) {
        return { peakLagMs, shedFraction: 0, kinds: state.kinds, priorities: NO_PRIORITIES };
    }
    const kinds = kindsAfter(state.kinds, arrivals, elapsedMs);
    const shedFraction = shedAfter(state, { lagMs, elapsedMs, kinds });
    const priorities = prioritiesAfter(state.priorities, arrivals, elapsedMs);
    const divided = shedFraction > 0 ? divideShed(kinds, priorities, shedFraction) : { kinds, priorities };
    return {
        peakLagMs,
        shedFraction,
        kinds: new Map(divided.kinds.map(load => [load.kind.name, load])),
        priorities: divided.priorities,
    };
}
