import type { Millis } from "@azureshunt/core";

import type { CallerDrainState } from "./CallerDrainState.js";

type CallerDrainView = {
    /** Time since the start of the drain. */
    readonly now: Millis;
    /** Time for which new connections are served, as the balancer learns late that they are not to be sent any more. */
    readonly announceMs: Millis;
    readonly withinMs: Millis;
    /** Connections accepted in the last turn of the event loop. */
    readonly accepted: number;
    /** Connections that wait in the system's queue; `undefined` if not known. */
    readonly queued: number | undefined;
    /** Length of that turn. */
    readonly turnMs: Millis;
    readonly openConnections: number;
};

/** Connections that the system's queue may hold. Callers that keep opening others must not hold the port open. */
const MAX_QUEUED = 1_024;
/**
 * In a longer turn, a connection may have arrived after the turn looked for one. Such turns are the rule on a busy VM, so longer
 * ones do after a while, but none in which the process stood still.
 */
const SHORT_TURN_MS = 2;
const BUSY_TURN_MS = 20;
const MAX_SETTLE_MS = 200;
const MAX_BUSY_SETTLE_MS = 1_000;

const longestTurnMs = (settleMs: Millis): Millis =>
    settleMs <= MAX_SETTLE_MS ? SHORT_TURN_MS : settleMs <= MAX_BUSY_SETTLE_MS ? BUSY_TURN_MS : Infinity;

/**
 * Decides which phase a drain is in.
 *
 * Closing the port resets the connections that wait in the system's queue, whose callers have sent their requests by
 * then; the event loop accepts one in each turn. To prevent this, the port is closed once the queue is empty; where the system
 * does not tell, after a short turn that accepted none. How long that takes depends on the CPU time that the VM gets.
 */
export function stepCallerDrain(state: CallerDrainState, view: CallerDrainView): CallerDrainState {
    const { now, announceMs, withinMs, openConnections, queued, turnMs } = view;
    const accepted = state.accepted + view.accepted;
    const enter = (phase: CallerDrainState["phase"]): CallerDrainState => ({ phase, since: now, accepted: 0 });
    if (now > withinMs) {
        return state.phase === "ended" ? state : enter("ended");
    }
    switch (state.phase) {
        case "announcing":
            return now > announceMs ? enter("accepting") : state;
        case "accepting": {
            const seemsEmpty = view.accepted === 0 && turnMs <= longestTurnMs(now - state.since);
            const isEmpty = queued === undefined ? seemsEmpty : queued === 0;
            return isEmpty || accepted > MAX_QUEUED ? enter("lingering") : { ...state, accepted };
        }
        case "lingering":
            return openConnections === 0 ? enter("ended") : state;
        case "ended":
            return state;
    }
}
