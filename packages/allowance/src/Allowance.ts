import type { FailureDomain, Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import type { Limits } from "./Limits.js";
import type { Waiter } from "./Waiter.js";

/** State that one VM keeps of one organisation's allowance. It exists only while the organisation is in use here. */
export type Allowance = {
    readonly vm: VmId;
    readonly run: Incarnation;
    readonly domain: FailureDomain;
    /** The organisation's limits over all failure domains. */
    readonly limits: Limits;
    /** One home for each failure domain that has VMs. */
    readonly homes: readonly Home[];
    /**
     * Set while this VM may act as home in its domain: the time from which a newly opened bucket counts as having
     * accrued tokens.
     */
    readonly servesFrom: Millis | undefined;
    /** Since when this VM is home but may not serve yet. */
    readonly barredSince: Millis | undefined;
    readonly bucket: Bucket | undefined;
    readonly held: readonly HeldGrant[];
    /** Waiting requests in order of arrival. */
    readonly waiters: readonly Waiter[];
    /** Tokens used beyond what was charged; they are charged with the next request. */
    readonly debt: Tokens;
    /** Number of admitted requests whose charge is not settled yet. */
    readonly inFlight: number;
    /** Tokens per second spent on this VM recently, as of `spentAt`. */
    readonly demand: Tokens;
    readonly spentAt: Millis;
    /** When a request was last refused; for a short time after it, homes are asked less often. */
    readonly lastRefusedAt: Millis | undefined;
};
