import type { Millis } from "@azureshunt/core";

import type { GrantAnswer } from "./GrantAnswer.js";
import type { HeldGrant } from "./HeldGrant.js";
import { timing } from "./timing.js";

/**
 * Applies a home's answer to what is held from that home.
 *
 * An answer that arrives late or twice would add tokens that the home counts as void, or add them twice. To prevent
 * this, only the answer to the pending ask is applied. The grant's lifetime is measured from when this VM asked, which
 * is before the home granted anything, so the grant expires here before the home stops counting it as outstanding.
 */
export function applyAnswer(held: HeldGrant, answer: GrantAnswer, now: Millis): HeldGrant {
    if (held.pendingSince === undefined || answer.seq !== held.seq) {
        return held;
    }
    const isSameIncarnation = held.homeIncarnation === undefined || held.homeIncarnation === answer.run;
    return {
        ...held,
        homeIncarnation: answer.run,
        left: (answer.extended ? held.left : 0) + answer.granted,
        outstandingAtHome: (answer.extended ? held.outstandingAtHome : 0) + answer.granted,
        expiresAt: held.pendingSince + timing.grantMs,
        slot: answer.slot,
        applied: answer.seq,
        pendingSince: undefined,
        answeredAt: now,
        answerMs: now - held.pendingSince,
        failedAt: undefined,
        decliningSince: undefined,
        refunds: isSameIncarnation ? held.refunds : [],
        free: answer.free,
        rate: answer.rate,
        elsewhere: answer.elsewhere,
        unmet: answer.unmet,
    };
}
