import type { FailureDomain, Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import type { Limits } from "./Limits.js";
import type { Waiter } from "./Waiter.js";

/** What one VM knows of one organisation's allowance. It exists only while the organisation is in use here. */
export type Allowance = {
    readonly vm: VmId;
    readonly run: Incarnation;
    readonly domain: FailureDomain;
    /** The organisation's limits over all failure domains. */
    readonly limits: Limits;
    /** One home for each failure domain that has VMs. */
    readonly homes: readonly Home[];
    /** Set while this VM may act as home in its domain: the moment from which a bucket opened anew has accrued. */
    readonly servesFrom: Millis | undefined;
    /** Since when this VM is home but may not serve. */
    readonly barredSince: Millis | undefined;
    readonly bucket: Bucket | undefined;
    readonly held: readonly HeldGrant[];
    /** First come, first served. */
    readonly waiters: readonly Waiter[];
    /** Tokens used beyond what was charged, to be charged with the next request. */
    readonly debt: Tokens;
    /** Reservations not settled yet. */
    readonly inFlight: number;
    /** Tokens a second spent here lately, as of `spentAt`. */
    readonly demand: Tokens;
    readonly spentAt: Millis;
    /** When a request was last refused; homes are asked less often for a moment after it. */
    readonly strainedAt: Millis | undefined;
};
