import type { Step } from "@azureshunt/core";

import type { StreamEffect } from "./StreamEffect.js";
import type { StreamPiece } from "./StreamPiece.js";
import type { StreamState } from "./StreamState.js";

const discard = (state: StreamState, reason: "duplicate" | "crossed" | "late"): Step<StreamState, StreamEffect> => ({
    state,
    effects: [{ kind: "discard", reason }],
});

/**
 * Decides what to do with a piece of a streamed answer.
 *
 * Failure guarded against: after a resume, pieces of the former try arrive beside those of the new one, twice or with
 * one missing, and the caller reads a text that no endpoint wrote. Only the piece at the next position of the current
 * try passes, so the caller's text is always a prefix of the whole answer.
 */
export function acceptPiece(state: StreamState, piece: StreamPiece): Step<StreamState, StreamEffect> {
    if (piece.dispatchId !== state.dispatchId) {
        return discard(state, "crossed");
    }
    if (state.phase !== "open") {
        return discard(state, "late");
    }
    if (piece.position < state.next) {
        return discard(state, "duplicate");
    }
    if (piece.position > state.next) {
        return { state: { ...state, phase: "broken" }, effects: [{ kind: "break" }] };
    }
    return {
        state: { ...state, next: state.next + 1, phase: piece.last ? "complete" : "open" },
        effects: [{ kind: "pass" }],
    };
}
