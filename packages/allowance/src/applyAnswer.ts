import type { Millis } from "@azureshunt/core";

import type { GrantAnswer } from "./GrantAnswer.js";
import type { HeldGrant } from "./HeldGrant.js";
import { timing } from "./timing.js";

/**
 * Takes in a home's answer.
 *
 * Failure guarded against: an answer that comes late or twice would add tokens that the home has counted as void, or
 * add them twice. Only the answer to the ask under way counts. Its time to live runs from when this VM asked, which is
 * before the home gave anything, so it ends before the home's own count does.
 */
export function applyAnswer(held: HeldGrant, answer: GrantAnswer, now: Millis): HeldGrant {
    if (held.pendingSince === undefined || answer.seq !== held.seq) {
        return held;
    }
    const sameRun = held.homeRun === undefined || held.homeRun === answer.run;
    return {
        ...held,
        homeRun: answer.run,
        left: (answer.extended ? held.left : 0) + answer.granted,
        counted: (answer.extended ? held.counted : 0) + answer.granted,
        expiresAt: held.pendingSince + timing.grantMs,
        slot: answer.slot,
        applied: answer.seq,
        pendingSince: undefined,
        heardAt: now,
        answerMs: now - held.pendingSince,
        failedAt: undefined,
        decliningSince: undefined,
        refunds: sameRun ? held.refunds : [],
        free: answer.free,
        rate: answer.rate,
        elsewhere: answer.elsewhere,
        unmet: answer.unmet,
    };
}
