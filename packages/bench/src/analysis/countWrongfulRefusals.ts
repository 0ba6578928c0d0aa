import { acceptWithinAllowance } from "./acceptWithinAllowance.js";
import type { Allowance } from "./Allowance.js";
import type { AllowanceRequest } from "./AllowanceRequest.js";

/**
 * Counts the requests of one organisation that were wrongfully refused from a given time on: those that an ideal
 * allowance for all VMs together would have accepted, less those that were accepted. While an organisation keeps to its
 * rate, every refusal counts; while it exceeds the rate, it does not matter which of its requests are refused.
 *
 * @param requests requests of this organisation since the start of the run
 * @param from milliseconds from the start of the run
 */
export function countWrongfulRefusals(
    allowance: Allowance,
    requests: readonly AllowanceRequest[],
    from: number,
): number {
    const expected = acceptWithinAllowance(allowance, requests).filter(({ at }) => at >= from).length;
    const accepted = requests.filter(({ at, accepted }) => at >= from && accepted).length;
    return Math.max(expected - accepted, 0);
}
