import type { Millis } from "@azureshunt/core";

import { groupsOf } from "./groupsOf.js";
import type { LinkEvent } from "./LinkEvent.js";
import type { LinkState } from "./LinkState.js";
import { linkTiming } from "./linkTiming.js";

type Unopened = LinkState["unopened"];

const withoutOld = (unopened: Unopened, now: Millis): Unopened =>
    new Map(
        [...unopened].filter(([, link]) => now - Math.max(link.bypassedAt, link.failedAt) < linkTiming.blockedMs),
    );

/** Applies what happened to a connection. */
export function stepLinks(state: LinkState, { kind, target }: LinkEvent, now: Millis): LinkState {
    const before = state.unopened.get(target.address) ?? { target, bypassedAt: -Infinity, failedAt: -Infinity };
    switch (kind) {
        case "opened":
            return {
                reachedAt: new Map(state.reachedAt).set(target.service, now),
                openedAt: new Map([...state.openedAt, ...groupsOf(target).map(group => [group, now] as const)]),
                unopened: state.unopened.has(target.address)
                    ? new Map([...state.unopened].filter(([address]) => address !== target.address))
                    : state.unopened,
            };
        case "answered":
            return { ...state, reachedAt: new Map(state.reachedAt).set(target.service, now) };
        case "bypassed":
        case "failed": {
            const link = kind === "bypassed" ? { ...before, bypassedAt: now } : { ...before, failedAt: now };
            return {
                ...state,
                unopened: new Map([...withoutOld(state.unopened, now), [target.address, { ...link, target }]]),
            };
        }
    }
}
