import { limitTiming } from "./limitTiming.js";

const MS_PER_SECOND = 1_000;

/**
 * Returns whether an endpoint got more requests lately than its limit takes. Turns follow the load that VMs know of each
 * other, and as callers come to many VMs at a moment that is too low until they have told.
 *
 * @param sent requests that all VMs have sent there within `limitTiming.sentMs`, as far as this VM knows
 */
export function isExhausted(perSecond: number, sent: number): boolean {
    const { sentMs, maxSentRatio, maxSentExtra } = limitTiming;
    return sent >= maxSentRatio * perSecond * sentMs / MS_PER_SECOND + maxSentExtra;
}
