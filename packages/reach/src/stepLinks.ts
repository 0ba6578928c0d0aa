import type { Millis } from "@azureshunt/core";

import { blockedAddresses } from "./blockedAddresses.js";
import type { LinkEvent } from "./LinkEvent.js";
import type { LinkState } from "./LinkState.js";

/** Applies how a connection opened. */
export function stepLinks(state: LinkState, { kind, address }: LinkEvent, now: Millis): LinkState {
    switch (kind) {
        case "opened":
            return {
                openedAt: now,
                bypassedAt: state.bypassedAt.has(address)
                    ? new Map([...state.bypassedAt].filter(([each]) => each !== address))
                    : state.bypassedAt,
            };
        case "bypassed": {
            const blocked = new Set(blockedAddresses(state, now));
            const current = [...state.bypassedAt].filter(([each]) => blocked.has(each));
            return { ...state, bypassedAt: new Map([...current, [address, now]]) };
        }
    }
}
