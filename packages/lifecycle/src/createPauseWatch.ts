import type { Clock, Millis } from "@azureshunt/core";

import type { ClockReading } from "./ClockReading.js";
import { initialPauses } from "./initialPauses.js";
import type { LifecycleTelemetry } from "./LifecycleTelemetry.js";
import type { Pause } from "./Pause.js";
import { stepPauses } from "./stepPauses.js";

type PauseListener = (pause: Pause) => void;

type WatchParts = {
    readonly clock: Clock;
    /** CPU time that the process has used, in milliseconds. */
    readonly cpuMs: () => Millis;
    /** Interval of the ticks. */
    readonly intervalMs: Millis;
    readonly logger: Pick<LifecycleTelemetry["logger"], "warn">;
    readonly metrics: Pick<LifecycleTelemetry["metrics"], "count">;
};

/** Tells the parts of a process that it did not run for some time. */
type PauseWatch = {
    /** To be called at every interval. */
    readonly tick: () => void;
    /** To be called before anything that outdated state would make wrong. */
    readonly check: () => void;
    /** Calls a function after each pause of a kind, in the order of registration; returns a function that unregisters it. */
    readonly register: (kind: Pause["kind"], listener: PauseListener) => () => void;
};

const MESSAGES: Readonly<Record<Pause["kind"], string>> = {
    counted: "The process did not run for some time.",
    uncounted: "Monotonic and wall clock diverged: the process was suspended or the wall clock was stepped.",
};

/** Creates the watch for pauses of this process. */
export function createPauseWatch({ clock, cpuMs, intervalMs, logger, metrics }: WatchParts): PauseWatch {
    const state = {
        pauses: initialPauses({ steadyMs: clock.now(), wallMs: clock.epoch(), cpuMs: cpuMs() }),
    };
    /** Between ticks that are in time, the CPU time is not needed, and asking for it costs each request a system call. */
    const read = (kind: "tick" | "look"): ClockReading => {
        const { tick } = state.pauses;
        const steadyMs = clock.now();
        const isCpuNeeded = kind === "tick" || steadyMs - tick.steadyMs > intervalMs;
        return { steadyMs, wallMs: clock.epoch(), cpuMs: isCpuNeeded ? cpuMs() : tick.cpuMs };
    };
    const listeners = new Set<{ readonly kind: Pause["kind"]; readonly listener: PauseListener; }>();
    const notify = (pause: Pause): void => {
        const { kind, ms } = pause;
        logger.warn({ kind, ms: Math.round(ms) }, MESSAGES[kind]);
        metrics.count("azureshunt_pauses_total", "Times in which the process did not run.", { kind });
        metrics.count(
            "azureshunt_paused_ms_total",
            "Milliseconds for which the process did not run.",
            { kind },
            Math.max(0, Math.round(ms)),
        );
        [...listeners].filter(each => each.kind === kind).forEach(({ listener }) => listener(pause));
    };
    const look = (kind: "tick" | "look"): void => {
        const step = stepPauses(state.pauses, { kind, reading: read(kind) }, intervalMs);
        state.pauses = step.state;
        step.pauses.forEach(notify);
    };
    return {
        tick: () => look("tick"),
        check: () => look("look"),
        register: (kind, listener) => {
            const entry = { kind, listener };
            listeners.add(entry);
            return () => void listeners.delete(entry);
        },
    };
}
