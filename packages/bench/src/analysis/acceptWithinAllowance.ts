import type { Allowance } from "./Allowance.js";
import type { AllowanceRequest } from "./AllowanceRequest.js";

const MS_PER_SECOND = 1_000;

type Bucket = { readonly tokens: number; readonly at: number; readonly accepted: readonly AllowanceRequest[]; };

/** Returns the requests of one organisation that an ideal allowance, shared by all VMs without delay, would accept. */
export function acceptWithinAllowance(
    { rate, burst, initialTokens }: Allowance,
    offered: readonly AllowanceRequest[],
): readonly AllowanceRequest[] {
    return offered.toSorted((a, b) => a.at - b.at).reduce<Bucket>((bucket, request) => {
        const refilled = Math.min(burst, bucket.tokens + rate * (request.at - bucket.at) / MS_PER_SECOND);
        const isAccepted = refilled >= request.cost;
        return {
            tokens: refilled - (isAccepted ? request.cost : 0),
            at: request.at,
            accepted: isAccepted ? [...bucket.accepted, request] : bucket.accepted,
        };
    }, { tokens: initialTokens, at: 0, accepted: [] }).accepted;
}
