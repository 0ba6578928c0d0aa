import type { FailureDomain } from "@azureshunt/core";

import type { Limits } from "./Limits.js";

/** An organisation's limits and the fraction of each failure domain; equal fractions if `shares` is left out. */
type SharedLimits = Limits & { readonly shares?: Readonly<Partial<Record<FailureDomain, number>>> | undefined; };

/**
 * Returns one failure domain's share of an organisation's limits.
 *
 * The domains come from the configuration, not from the membership: two VMs that know of different VMs but have the
 * same revision must compute shares that add up to the organisation's limits.
 *
 * @param total the organisation's limits
 * @param domains all failure domains that the configuration names
 */
export function shareOf(total: SharedLimits, domain: FailureDomain, domains: readonly FailureDomain[]): Limits {
    const equal = domains.includes(domain) ? 1 / domains.length : 0;
    const share = total.shares === undefined ? equal : total.shares[domain] ?? 0;
    return { rate: total.rate * share, burst: total.burst * share };
}
