import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { Limits } from "./Limits.js";
import type { TakerAccount } from "./TakerAccount.js";

/**
 * The token bucket of one organisation in one failure domain, held by the organisation's home VM there.
 *
 * Its level is `balance` plus all tokens that may still be spent under grants. It accrues only while the level is below
 * the burst, so that tokens granted and not known to be spent are never accrued a second time.
 */
export type Bucket = {
    readonly limits: Limits;
    /** Tokens neither spent nor granted. Below zero while a shortfall is carried as debt. */
    readonly balance: Tokens;
    /** Up to when the balance has accrued. */
    readonly accruedAt: Millis;
    /** When this bucket was opened; charges from before are not refunded into it. */
    readonly openedAt: Millis;
    readonly takers: ReadonlyMap<VmId, TakerAccount>;
    /** Tokens granted by a former home or to a former run of a VM: spendable up to `until`, never handed back. */
    readonly lapsing: readonly { readonly tokens: Tokens; readonly until: Millis; }[];
    /** Highest levels by slot, oldest first; a level that a later one exceeds is left out. */
    readonly peaks: readonly { readonly slot: number; readonly level: Tokens; }[];
};
