import type { TunnelEnd } from "@azureshunt/completion";
import type { Clock, Millis } from "@azureshunt/core";

import type { TunnelId } from "./TunnelId.js";
import { tunnelTiming } from "./tunnelTiming.js";

/** How the tunnels ended that this VM has forwarded, for a short time. */
type TunnelEnds = {
    readonly record: (id: TunnelId, end: TunnelEnd) => void;
    /** Returns how a tunnel ended; `undefined` if it is open, unknown or has been forgotten. */
    readonly endOf: (id: TunnelId) => TunnelEnd | undefined;
    /** Whether a VM may still ask about a tunnel that its endpoint has closed. */
    readonly isAwaitingQuestion: () => boolean;
};

/** How long an end is remembered: a VM asks as soon as the end has reached it, which may wait for bytes before. */
const KEPT_MS: Millis = 10_000;
/** Several times as many as a VM forwards at once; about half a megabyte. */
const MAX_KEPT = 4_096;

/** Creates the record of how tunnels ended. */
export function createTunnelEnds(clock: Pick<Clock, "now">): TunnelEnds {
    const ends = new Map<TunnelId, { readonly end: TunnelEnd; readonly at: Millis; }>();
    const state = { lastClosedAt: -Infinity };
    /** Forgets ends from the oldest on, the order of the map. */
    const forget = (): void => {
        const tooOldAt = clock.now() - KEPT_MS;
        for (const [id, { at }] of ends) {
            if (at > tooOldAt && ends.size <= MAX_KEPT) {
                return;
            }
            ends.delete(id);
        }
    };
    return {
        record: (id, end) => {
            const at = clock.now();
            ends.delete(id);
            ends.set(id, { end, at });
            if (end === "endpoint-closed") {
                state.lastClosedAt = at;
            }
            forget();
        },
        endOf: id => ends.get(id)?.end,
        isAwaitingQuestion: () => clock.now() - state.lastClosedAt < tunnelTiming.confirmMs,
    };
}
