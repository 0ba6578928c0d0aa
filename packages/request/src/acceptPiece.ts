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
 * After a resume, pieces of the previous try may arrive among those of the new one, duplicated or with one missing, and
 * the caller would read a text that no endpoint generated. To prevent this, only the piece at the next position of the
 * current try is forwarded, so the caller's text is always a prefix of the complete answer.
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
