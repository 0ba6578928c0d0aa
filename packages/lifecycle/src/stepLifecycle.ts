import type { Step } from "@azureshunt/core";

import type { ExitCause } from "./ExitCause.js";
import type { LifecycleEffect } from "./LifecycleEffect.js";
import type { LifecycleEvent } from "./LifecycleEvent.js";
import type { LifecyclePhase } from "./LifecyclePhase.js";
import type { LifecycleState } from "./LifecycleState.js";
import { signalMeanings } from "./signalMeanings.js";

type LifecycleStep = Step<LifecycleState, LifecycleEffect>;
type Handler = (state: LifecycleState, event: LifecycleEvent) => LifecycleStep;

/** A process that keeps failing while it drains must not hold callers until the time to stop is up. */
const MAX_UNCAUGHT_ERRORS = 10;

const unchanged = (state: LifecycleState): LifecycleStep => ({ state, effects: [] });

const exit = (state: LifecycleState, cause: ExitCause): LifecycleStep => ({
    state: { ...state, phase: "stopped", cause },
    effects: [{ kind: "exit", cause }],
});

/** Ends a process on which requests may still run. */
const cutAndExit = (state: LifecycleState, cause: ExitCause): LifecycleStep => ({
    state: { ...state, phase: "stopped", cause },
    effects: [{ kind: "cut" }, { kind: "exit", cause }],
});

const drain = (state: LifecycleState, cause: ExitCause, effects: readonly LifecycleEffect[]): LifecycleStep => ({
    state: { ...state, phase: "draining", cause },
    effects,
});

const countError = (state: LifecycleState): LifecycleState => ({
    ...state,
    uncaughtErrors: state.uncaughtErrors + 1,
});

const whileStarting: Handler = (state, event) => {
    switch (event.kind) {
        case "signal":
            switch (signalMeanings[event.signal]) {
                case "stop":
                    return drain(state, "signal", [{ kind: "abort-start" }]);
                case "reload":
                    return unchanged({ ...state, isReloadDue: true });
                case "none":
                    return unchanged(state);
            }
        case "started":
            return {
                state: { ...state, phase: "serving", hasStarted: true, isReloadDue: false },
                effects: state.isReloadDue ? [{ kind: "reload" }] : [],
            };
        case "start-failed":
            return exit(state, event.cause);
        case "uncaught-error":
            // Nobody is served yet.
            return exit(countError(state), "uncaught-error");
        case "drained":
        case "drain-overdue":
            return unchanged(state);
    }
};

const whileServing: Handler = (state, event) => {
    switch (event.kind) {
        case "signal":
            switch (signalMeanings[event.signal]) {
                case "stop":
                    return drain(state, "signal", [{ kind: "drain" }]);
                case "reload":
                    return { state, effects: [{ kind: "reload" }] };
                case "none":
                    return unchanged(state);
            }
        case "uncaught-error":
            // The state after an unknown error is not to be trusted with new requests.
            return drain(countError(state), "uncaught-error", [{ kind: "refuse" }, { kind: "drain" }]);
        case "started":
        case "start-failed":
        case "drained":
        case "drain-overdue":
            return unchanged(state);
    }
};

const whileDraining: Handler = (state, event) => {
    const cause = state.cause ?? "signal";
    switch (event.kind) {
        case "signal":
            // A further signal must not cut requests off: who wants that has SIGKILL.
            return unchanged(state);
        case "started":
            // The start was past its last step when it was aborted, so callers may have connected.
            return { state: { ...state, hasStarted: true }, effects: [{ kind: "drain" }] };
        case "start-failed":
        case "drained":
            return exit(state, cause);
        case "drain-overdue":
            return cutAndExit(state, cause);
        case "uncaught-error": {
            const failed = { ...countError(state), cause: "uncaught-error" as const };
            // A start that was given up serves nobody, and may never settle after the error.
            return !state.hasStarted || failed.uncaughtErrors >= MAX_UNCAUGHT_ERRORS
                ? cutAndExit(failed, "uncaught-error")
                : { state: failed, effects: [{ kind: "refuse" }] };
        }
    }
};

const HANDLERS: Readonly<Record<LifecyclePhase, Handler>> = {
    starting: whileStarting,
    serving: whileServing,
    draining: whileDraining,
    stopped: unchanged,
};

/** Decides what a process does about an event in the phase that it is in. */
export function stepLifecycle(state: LifecycleState, event: LifecycleEvent): LifecycleStep {
    return HANDLERS[state.phase](state, event);
}
