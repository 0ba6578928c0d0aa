import type { Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

import { advanceBucket } from "./advanceBucket.js";
import type { Bucket } from "./Bucket.js";
import { claimedBefore } from "./claimedBefore.js";
import type { GrantAnswer } from "./GrantAnswer.js";
import type { GrantAsk } from "./GrantAsk.js";
import { notePeak } from "./notePeak.js";
import { outstandingOf } from "./outstandingOf.js";
import { refundToBucket } from "./refundToBucket.js";
import { slotAt } from "./slotAt.js";
import type { TakerAccount } from "./TakerAccount.js";
import { timing } from "./timing.js";

/** What an ask leads to; `answer` is undefined for a repeated or overtaken ask, which must have no effect. */
type Answered = {
    readonly bucket: Bucket;
    readonly answer: GrantAnswer | undefined;
    readonly recalls: readonly VmId[];
};

/** What the home's own waiting requests lack, and when the oldest of them came. */
type OwnClaim = { readonly unmet: Tokens; readonly since: Millis; };

const settle = (bucket: Bucket, ask: GrantAsk, before: TakerAccount | undefined, now: Millis): Bucket => {
    const outstanding = before?.outstanding ?? 0;
    // A taker that has forgotten the organisation in between knows of no answer, and may have spent the last one.
    const missed = before !== undefined && ask.applied > 0 && ask.applied < before.seq;
    const voided = missed ? before.lastGrant : 0;
    // The taker debits before it sends, and never uses an answer that it missed: only tokens that this bucket still
    // counts as outstanding, and that the taker no longer holds, come back.
    const credit = Math.min(ask.giveBack + voided, Math.max(0, outstanding - ask.held));
    const credited = { ...bucket, balance: bucket.balance + credit };
    return ask.refunds.reduce((next, refund) => refundToBucket(next, refund.slot, refund.tokens, now), credited);
};

const othersOf = (bucket: Bucket, vm: VmId): readonly (readonly [VmId, TakerAccount])[] =>
    [...bucket.takers].filter(([other]) => other !== vm);

const grantFrom = (free: Tokens, ask: GrantAsk): Tokens => {
    if (free <= 0) {
        return 0;
    }
    const needed = Math.min(free, ask.need);
    const ahead = Math.min(ask.ahead, (free - needed) / 2);
    return Math.max(0, Math.floor(needed + ahead));
};

/**
 * Answers a VM's ask for tokens, or its handing back of some. Whoever has waited longest is served first.
 *
 * Failures guarded against: a repeated or overtaken ask would credit its tokens twice (its sequence number is not
 * higher than the last one); a restarted taker's former run may still hold tokens (they lapse on their own).
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
    const known = advanced.takers.get(vm);
    if (known !== undefined && known.run === ask.run && ask.seq <= known.seq) {
        return { bucket: advanced, answer: undefined, recalls: [] };
    }
    const account = known?.run === ask.run ? known : undefined;
    const former = known !== undefined && account === undefined && known.outstanding > 0
        ? [{ tokens: known.outstanding, until: known.until }]
        : [];
    const outstanding = account?.outstanding ?? 0;
    const mine = ask.home === run;
    const extended = ask.held === 0 || (mine && ask.held <= outstanding);
    const held = extended ? ask.held : 0;
    const disowned = extended || outstanding === 0 ? [] : [{ tokens: outstanding, until: account?.until ?? now }];
    const settled = settle(
        { ...advanced, lapsing: [...advanced.lapsing, ...former, ...disowned] },
        mine && extended ? ask : { ...ask, giveBack: 0, refunds: [] },
        extended ? account : undefined,
        now,
    );
    const waitingSince = now - ask.waitedMs;
    const ownClaim = own.since < waitingSince ? own.unmet : 0;
    const claimed = claimedBefore(settled, waitingSince, vm, now) + ownClaim;
    const granted = grantFrom(settled.balance - claimed, ask);
    const unmet = Math.max(0, ask.need - granted);
    const others = othersOf(settled, vm);
    const recalls = unmet === 0
        ? []
        : others
            .filter(([, taker]) => taker.outstanding > 0 && taker.recalledAt + timing.recallMs <= now)
            .map(([other]) => other);
    const next: TakerAccount = {
        run: ask.run,
        seq: ask.seq,
        outstanding: held + granted,
        until: now + timing.keepMs,
        lastGrant: granted,
        unmet,
        waitingSince,
        seenAt: now,
        recalledAt: account?.recalledAt ?? now - timing.recallMs,
    };
    const takers = new Map([
        ...others.map(([other, taker]) =>
            [other, recalls.includes(other) ? { ...taker, recalledAt: now } : taker] as const
        ),
        [vm, next] as const,
    ]);
    const bucket = notePeak({ ...settled, balance: settled.balance - granted, takers }, now);
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
            elsewhere: outstandingOf({ ...bucket, takers: new Map(others) }),
            unmet: claimed,
        },
    };
}
