import type { FailureDomain } from "@azureshunt/core";

import type { Limits } from "./Limits.js";

/** An organisation's limits and how the failure domains share them; equal parts when `shares` is left out. */
type Shared = Limits & { readonly shares?: Readonly<Partial<Record<FailureDomain, number>>> | undefined; };

/**
 * Gives the part of an organisation's limits that one failure domain holds.
 *
 * The domains come from the configuration, not from the membership: two VMs that see different VMs but hold the same
 * revision must come to shares that sum to the whole.
 *
 * @param whole the organisation's limits
 * @param domain the failure domain
 * @param domains all failure domains that the configuration names
 */
export function shareOf(whole: Shared, domain: FailureDomain, domains: readonly FailureDomain[]): Limits {
    const equal = domains.includes(domain) ? 1 / domains.length : 0;
    const share = whole.shares === undefined ? equal : whole.shares[domain] ?? 0;
    return { rate: whole.rate * share, burst: whole.burst * share };
}
