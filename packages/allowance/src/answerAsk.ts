import type { Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

import { advanceBucket } from "./advanceBucket.js";
import type { Bucket } from "./Bucket.js";
import { claimedBefore } from "./claimedBefore.js";
import type { GrantAnswer } from "./GrantAnswer.js";
import type { GrantAsk } from "./GrantAsk.js";
import type { HolderAccount } from "./HolderAccount.js";
import { outstandingOf } from "./outstandingOf.js";
import { recordPeak } from "./recordPeak.js";
import { refundToBucket } from "./refundToBucket.js";
import { slotAt } from "./slotAt.js";
import { timing } from "./timing.js";

/** Outcome of an ask; `answer` is undefined for a repeated or overtaken ask, which must have no effect. */
type Answered = {
    readonly bucket: Bucket;
    readonly answer: GrantAnswer | undefined;
    readonly recalls: readonly VmId[];
};

/** Tokens that requests waiting at the home itself lack, and when the oldest of them arrived. */
type OwnClaim = { readonly unmet: Tokens; readonly since: Millis; };

const creditReturns = (bucket: Bucket, ask: GrantAsk, before: HolderAccount | undefined, now: Millis): Bucket => {
    const outstanding = before?.outstanding ?? 0;
    // `applied` is 0 if the holder has forgotten the organisation meanwhile; it may then have spent the last grant.
    const isAnswerMissed = before !== undefined && ask.applied > 0 && ask.applied < before.seq;
    const voided = isAnswerMissed ? before.lastGrant : 0;
    // The holder debits tokens before it sends them back, and never uses an answer that it missed. So only tokens that
    // this bucket still counts as outstanding and that the holder no longer holds are credited.
    const credit = Math.min(ask.giveBack + voided, Math.max(0, outstanding - ask.held));
    const credited = { ...bucket, balance: bucket.balance + credit };
    return ask.refunds.reduce((next, refund) => refundToBucket(next, refund.slot, refund.tokens, now), credited);
};

const othersOf = (bucket: Bucket, vm: VmId): readonly (readonly [VmId, HolderAccount])[] =>
    [...bucket.holders].filter(([other]) => other !== vm);

const grantFrom = (free: Tokens, ask: GrantAsk): Tokens => {
    if (free <= 0) {
        return 0;
    }
    const needed = Math.min(free, ask.need);
    const ahead = Math.min(ask.ahead, (free - needed) / 2);
    return Math.max(0, Math.floor(needed + ahead));
};

/**
 * Answers a VM's ask, which requests tokens, hands some back, or both. The request that has waited longest is served
 * first.
 *
 * A repeated or overtaken ask would credit its tokens twice. To prevent this, an ask whose sequence number is not
 * higher than the last one has no effect. A restarted holder's former incarnation may still hold tokens; they are left
 * to expire.
 */
export function answerAsk(
    before: Bucket,
    vm: VmId,
    ask: GrantAsk,
    run: Incarnation,
    own: OwnClaim,
    now: Millis,
): Answered {
    const advanced = advanceBucket(before, now);
    const known = advanced.holders.get(vm);
    if (known !== undefined && known.incarnation === ask.run && ask.seq <= known.seq) {
        return { bucket: advanced, answer: undefined, recalls: [] };
    }
    const account = known?.incarnation === ask.run ? known : undefined;
    const formerGrants = known !== undefined && account === undefined && known.outstanding > 0
        ? [{ tokens: known.outstanding, until: known.until }]
        : [];
    const outstanding = account?.outstanding ?? 0;
    const isForThisHome = ask.home === run;
    const extended = ask.held === 0 || (isForThisHome && ask.held <= outstanding);
    const held = extended ? ask.held : 0;
    const unclaimedGrants = extended || outstanding === 0
        ? []
        : [{ tokens: outstanding, until: account?.until ?? now }];
    const credited = creditReturns(
        { ...advanced, expiringGrants: [...advanced.expiringGrants, ...formerGrants, ...unclaimedGrants] },
        isForThisHome && extended ? ask : { ...ask, giveBack: 0, refunds: [] },
        extended ? account : undefined,
        now,
    );
    const waitingSince = now - ask.waitedMs;
    const ownClaim = own.since < waitingSince ? own.unmet : 0;
    const claimed = claimedBefore(credited, waitingSince, vm, now) + ownClaim;
    const granted = grantFrom(credited.balance - claimed, ask);
    const unmet = Math.max(0, ask.need - granted);
    const others = othersOf(credited, vm);
    const recalls = unmet === 0
        ? []
        : others
            .filter(([, holder]) => holder.outstanding > 0 && holder.recalledAt + timing.recallMs <= now)
            .map(([other]) => other);
    const next: HolderAccount = {
        incarnation: ask.run,
        seq: ask.seq,
        outstanding: held + granted,
        until: now + timing.keepMs,
        lastGrant: granted,
        unmet,
        waitingSince,
        seenAt: now,
        recalledAt: account?.recalledAt ?? now - timing.recallMs,
    };
    const holders = new Map([
        ...others.map(([other, holder]) =>
            [other, recalls.includes(other) ? { ...holder, recalledAt: now } : holder] as const
        ),
        [vm, next] as const,
    ]);
    const bucket = recordPeak({ ...credited, balance: credited.balance - granted, holders }, now);
    return {
        bucket,
        recalls,
        answer: {
            seq: ask.seq,
            run,
            extended,
            granted,
            slot: slotAt(now),
            free: Math.max(0, bucket.balance),
            rate: bucket.limits.rate,
            elsewhere: outstandingOf({ ...bucket, holders: new Map(others) }),
            unmet: claimed,
        },
    };
}
