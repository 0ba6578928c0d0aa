import type { Millis } from "@azureshunt/core";

import type { CallerDrainState } from "./CallerDrainState.js";

type CallerDrainView = {
    /** Time since the start of the drain. */
    readonly now: Millis;
    /** Time for which new connections are served, as the balancer learns late that they are not to be sent any more. */
    readonly announceMs: Millis;
    readonly withinMs: Millis;
    /** Whether a connection was accepted in the last turn of the event loop. */
    readonly hasAccepted: boolean;
    readonly openConnections: number;
};

/** Callers that keep opening connections must not hold the port open. */
const MAX_ACCEPTING_MS = 100;

/**
 * Decides which phase a drain is in.
 *
 * Closing the port resets the connections that wait in the system's queue, whose callers have sent their requests by
 * then; the event loop accepts one in each turn. To prevent this, the port is closed after a turn that found the queue
 * empty.
 */
export function stepCallerDrain(state: CallerDrainState, view: CallerDrainView): CallerDrainState {
    const { now, announceMs, withinMs, hasAccepted, openConnections } = view;
    const enter = (phase: CallerDrainState["phase"]): CallerDrainState => ({ phase, since: now });
    if (now > withinMs) {
        return state.phase === "ended" ? state : enter("ended");
    }
    switch (state.phase) {
        case "announcing":
            return now > announceMs ? enter("accepting") : state;
        case "accepting":
            return !hasAccepted || now - state.since > MAX_ACCEPTING_MS ? enter("lingering") : state;
        case "lingering":
            return openConnections === 0 ? enter("ended") : state;
        case "ended":
            return state;
    }
}
