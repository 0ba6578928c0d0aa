import type { Millis } from "@azureshunt/core";

import type { EndpointLimit } from "./EndpointLimit.js";
import type { LimitStatement } from "./LimitStatement.js";

/**
 * Applies what an answer to this VM or to a peer said. Of two statements the newer one holds, and one of a later
 * incarnation in any case.
 *
 * @param phase part of a turn, in [0, 1), that this VM has at a limit that is new to it; differs between VMs, so that their
 *     turns do not fall together
 */
export function learnLimit(
    known: EndpointLimit | undefined,
    { bornAt, perSecond, seenAt }: LimitStatement,
    phase: number,
    now: Millis,
): EndpointLimit | undefined {
    if (known === undefined || known.bornAt < bornAt) {
        return known === undefined && perSecond === undefined
            ? undefined
            : { bornAt, perSecond, seenAt, changedAt: now, turns: phase, turnSince: now, sentAt: [] };
    }
    if (known.bornAt > bornAt || known.seenAt >= seenAt) {
        return known;
    }
    return known.perSecond === perSecond
        ? { ...known, seenAt }
        : { ...known, perSecond, seenAt, changedAt: now, turns: phase, turnSince: now };
}
