import type { Millis } from "@azureshunt/core";

import type { ClockReading } from "./ClockReading.js";
import type { Pause } from "./Pause.js";
import type { PauseState } from "./PauseState.js";

type PauseEvent = {
    /** `tick`: the interval's timer ran. `look`: something is about to be decided that a pause would make wrong. */
    readonly kind: "tick" | "look";
    readonly reading: ClockReading;
};
type PauseStep = { readonly state: PauseState; readonly pauses: readonly Pause[]; };

/** Parting of the two clocks from which they count as parted; late timers and clock slewing stay below it. */
const MIN_PARTED_MS: Millis = 120;
/** Shortest pause that is told while the monotonic clock goes on; what is shorter, deadlines and objectives allow for. */
const MIN_COUNTED_MS: Millis = 200;
/**
 * Largest fraction of a pause for which the process may have had the processor. A process that is busy, or starved on a
 * tenth of a core, uses more: it falls behind by its load, and must refuse some of it.
 */
const MAX_CPU_FRACTION = 0.02;

/** Fraction of the usual CPU time that is left after an interval with less. */
const USUAL_DECAY = 0.8;

/** Returns the most CPU time that an interval has lately taken, at most what a core gives. */
const usualCpu = ({ tick, usualCpuMs }: PauseState, reading: ClockReading, intervalMs: Millis): Millis => {
    const elapsedMs = Math.max(intervalMs, reading.steadyMs - tick.steadyMs);
    const perIntervalMs = Math.min(intervalMs, (reading.cpuMs - tick.cpuMs) * intervalMs / elapsedMs);
    return Math.max(perIntervalMs, usualCpuMs * USUAL_DECAY);
};

const uncounted = (state: PauseState, { wallMs, steadyMs }: ClockReading): readonly Pause[] => {
    const partedMs = wallMs - steadyMs - state.offsetMs;
    return Math.abs(partedMs) > MIN_PARTED_MS ? [{ kind: "uncounted", ms: partedMs }] : [];
};

const counted = (state: PauseState, reading: ClockReading, intervalMs: Millis): readonly Pause[] => {
    const { tick, usualCpuMs, toldMs } = state;
    const overdueMs = reading.steadyMs - tick.steadyMs - intervalMs - toldMs;
    const cpuMs = reading.cpuMs - tick.cpuMs - usualCpuMs;
    return overdueMs >= MIN_COUNTED_MS && cpuMs <= overdueMs * MAX_CPU_FRACTION
        ? [{ kind: "counted", ms: overdueMs }]
        : [];
};

/** Decides whether a process did not run for some time, from what its clocks say. Ticks are due at every interval. */
export function stepPauses(state: PauseState, { kind, reading }: PauseEvent, intervalMs: Millis): PauseStep {
    const ofSteadyClock = counted(state, reading, intervalMs);
    const offsetMs = reading.wallMs - reading.steadyMs;
    return {
        state: kind === "tick"
            ? { tick: reading, usualCpuMs: usualCpu(state, reading, intervalMs), offsetMs, toldMs: 0 }
            : { ...state, offsetMs, toldMs: state.toldMs + (ofSteadyClock[0]?.ms ?? 0) },
        pauses: [...uncounted(state, reading), ...ofSteadyClock],
    };
}
