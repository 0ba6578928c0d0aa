import { limitTiming } from "./limitTiming.js";

const MS_PER_SECOND = 1_000;

/**
 * Returns whether an endpoint got more requests lately than its limit allows. Turns follow the last received loads of the
 * other VMs, which are too low for a moment when the callers of many VMs send more.
 *
 * @param sent requests that all VMs have sent there within `limitTiming.sentMs`, as far as this VM knows
 */
export function isExhausted(perSecond: number, sent: number): boolean {
    const { sentMs, maxSentRatio, maxSentExtra } = limitTiming;
    return sent >= maxSentRatio * perSecond * sentMs / MS_PER_SECOND + maxSentExtra;
}
