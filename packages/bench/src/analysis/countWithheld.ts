import { acceptWithin } from "./acceptWithin.js";
import type { Allowed } from "./Allowed.js";
import type { Spending } from "./Spending.js";

/**
 * Counts the requests that one organisation was due and did not get from a moment on: those that an ideal allowance for
 * the whole fleet would have accepted, less those that were accepted. While an organisation keeps to its rate this is
 * each refusal; while it sends more, refusing some requests in place of others is no wrong.
 *
 * @param spendings of this organisation, from the start of the run
 * @param from milliseconds from the start of the run
 */
export function countWithheld(allowed: Allowed, spendings: readonly Spending[], from: number): number {
    const due = acceptWithin(allowed, spendings).filter(({ at }) => at >= from).length;
    const accepted = spendings.filter(({ at, accepted }) => at >= from && accepted).length;
    return Math.max(due - accepted, 0);
}
