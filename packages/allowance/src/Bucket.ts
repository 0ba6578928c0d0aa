import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { HolderAccount } from "./HolderAccount.js";
import type { Limits } from "./Limits.js";

/**
 * Token bucket of one organisation in one failure domain, kept by the organisation's home VM there.
 *
 * Its level is `balance` plus all granted tokens that may still be spent. It accrues only while the level is below the
 * burst, so that granted tokens that are not known to be spent are never accrued a second time.
 */
export type Bucket = {
    readonly limits: Limits;
    /** Tokens neither spent nor granted. Below zero while a shortfall is carried as debt. */
    readonly balance: Tokens;
    /** Time up to which accrued tokens are included in `balance`. */
    readonly accruedAt: Millis;
    /** When this bucket was opened; earlier charges are not refunded into it. */
    readonly openedAt: Millis;
    readonly holders: ReadonlyMap<VmId, HolderAccount>;
    /**
     * Grants of a former home, grants to a former incarnation of a VM, and grants that their holder no longer reports:
     * spendable up to `until`, never handed back.
     */
    readonly expiringGrants: readonly { readonly tokens: Tokens; readonly until: Millis; }[];
    /** Highest levels by slot, oldest first; a level is left out if a later one reaches or exceeds it. */
    readonly peaks: readonly { readonly slot: number; readonly level: Tokens; }[];
};
