import type { Millis } from "@azureshunt/core";

import type { CallerConnectionState } from "./CallerConnectionState.js";
import type { CallerDrainPhase } from "./CallerDrainPhase.js";

type ConnectionView = {
    readonly state: CallerConnectionState;
    /** Time since this VM ended its side; 0 if it has not. */
    readonly halfClosedMs: Millis;
    readonly phase: CallerDrainPhase;
    /** Time since the phase began. */
    readonly phaseMs: Millis;
};

/** A request that was sent as the port closed arrives within this time. */
const LATE_REQUEST_MS = 200;
/** Callers close a connection as soon as they have its last answer. While the port is open, they have longer. */
const LINGER_MS = 200;

/**
 * Decides what a drain does with a connection. A connection whose caller may still send is half-closed first: the
 * system answers bytes that arrive after a close with a reset, which discards the end of an answer that is on its way.
 */
export function connectionActionOf(view: ConnectionView): "keep" | "half-close" | "close" {
    const { state, halfClosedMs, phase, phaseMs } = view;
    if (phase === "ended") {
        return "close";
    }
    switch (state) {
        case "unread":
        case "answering":
            return "keep";
        case "half-closed":
            return phase === "lingering" && halfClosedMs > LINGER_MS ? "close" : "keep";
        case "idle":
            return phase === "lingering" ? "half-close" : "keep";
        case "silent":
        case "reading":
            return phase === "lingering" && phaseMs > LATE_REQUEST_MS ? "half-close" : "keep";
    }
}
