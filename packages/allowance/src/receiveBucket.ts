import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { HandedBucket } from "./HandedBucket.js";
import { openBucket } from "./openBucket.js";
import { timing } from "./timing.js";

/**
 * Takes over a former home's bucket, unless one is open here already, which then knows of grants of its own: its balance, cut to the limits here, and its grants as tokens that lapse. Grants of
 * a former home cannot be handed back here, so no room is accrued for them until they have run out.
 */
export function receiveBucket(before: Allowance, handed: HandedBucket, now: Millis): Allowance {
    const share = before.homes.find(home => home.vm === before.vm)?.limits;
    if (share === undefined || before.bucket !== undefined) {
        return before;
    }
    const until = now + handed.lapsesIn * (timing.keepMs / timing.grantMs);
    const lapsing = handed.outstanding > 0 ? [{ tokens: handed.outstanding, until }] : [];
    const room = Math.max(0, share.burst - handed.outstanding);
    const bucket = { ...openBucket(share, now, now), balance: Math.min(handed.balance, room), lapsing };
    return { ...before, bucket };
}
