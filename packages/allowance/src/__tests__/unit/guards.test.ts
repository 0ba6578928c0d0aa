import { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import test from "ava";

import { advanceBucket } from "../../advanceBucket.js";
import { answerAsk } from "../../answerAsk.js";
import { applyAnswer } from "../../applyAnswer.js";
import { askHome } from "../../askHome.js";
import type { GrantAnswer } from "../../GrantAnswer.js";
import type { GrantAsk } from "../../GrantAsk.js";
import type { HeldGrant } from "../../HeldGrant.js";
import { levelOf } from "../../levelOf.js";
import { openAllowance } from "../../openAllowance.js";
import { openBucket } from "../../openBucket.js";
import { refundToBucket } from "../../refundToBucket.js";
import { slotAt } from "../../slotAt.js";
import { timing } from "../../timing.js";
import { usableTokens } from "../../usableTokens.js";

const HOLDER = VmId.parse("vm-2");
const HOME_INCARNATION = Incarnation.parse("home-1");
const LIMITS = { rate: 1_000, burst: 10_000 };
const NO_OWN_CLAIM = { unmet: 0, since: Infinity };
const ASK: GrantAsk = {
    run: Incarnation.parse("holder-1"),
    home: HOME_INCARNATION,
    seq: 1,
    applied: 0,
    held: 0,
    giveBack: 0,
    need: 4_000,
    waitedMs: 0,
    ahead: 0,
    refunds: [],
};
const HELD: HeldGrant = {
    domain: FailureDomain.parse("north"),
    home: VmId.parse("vm-1"),
    homeIncarnation: HOME_INCARNATION,
    left: 100,
    outstandingAtHome: 100,
    expiresAt: 500,
    slot: 0,
    seq: 7,
    applied: 6,
    pendingSince: 1_000,
    askedAt: 1_000,
    answeredAt: 0,
    answerMs: 0,
    failedAt: undefined,
    decliningSince: undefined,
    refunds: [],
    free: 0,
    rate: 0,
    elsewhere: 0,
    unmet: 0,
};
const ANSWER: GrantAnswer = {
    seq: 7,
    run: HOME_INCARNATION,
    extended: false,
    granted: 4_000,
    slot: 1,
    free: 0,
    rate: 0,
    elsewhere: 0,
    unmet: 0,
};

const full = openBucket(LIMITS, -Infinity, 0);
const granted = answerAsk(full, HOLDER, ASK, HOME_INCARNATION, NO_OWN_CLAIM, 0).bucket;

// An ask is delivered again, seconds late. The tokens that it hands back or is granted would count twice.
test("bucket: a repeated ask has no effect", t => {
    const again = answerAsk(granted, HOLDER, ASK, HOME_INCARNATION, NO_OWN_CLAIM, 10);
    t.is(again.answer, undefined);
    t.is(levelOf(again.bucket), levelOf(advanceBucket(granted, 10)));
});

// A late message hands back tokens that have expired meanwhile, so the home no longer counts them as outstanding.
test("bucket: no more tokens are credited than are outstanding", t => {
    const late = { ...ASK, seq: 2, applied: 1, giveBack: 4_000, need: 0 };
    const returned = answerAsk(granted, HOLDER, late, HOME_INCARNATION, NO_OWN_CLAIM, timing.keepMs + 1).bucket;
    t.is(Math.round(returned.balance), 6_000 + LIMITS.rate / 1_000);
});

// If the home accrued tokens in place of granted ones that are not spent yet, both could be spent at once.
test("bucket: nothing accrues in place of outstanding tokens", t => {
    t.true(levelOf(advanceBucket(granted, timing.keepMs - 1)) <= LIMITS.burst);
    t.is(advanceBucket(granted, timing.keepMs - 1).balance, 6_000);
    t.true(advanceBucket(granted, timing.keepMs + 2_000).balance > 6_000);
});

// An answer is lost after the home has granted tokens. The holder's next ask shows this, and the tokens are credited.
test("bucket: a grant whose answer never arrived is void", t => {
    const second =
        answerAsk(granted, HOLDER, { ...ASK, seq: 2, applied: 1, need: 1_000 }, HOME_INCARNATION, NO_OWN_CLAIM, 0)
            .bucket;
    t.is(second.balance, 5_000);
    const third =
        answerAsk(second, HOLDER, { ...ASK, seq: 3, applied: 1, need: 0 }, HOME_INCARNATION, NO_OWN_CLAIM, 0).bucket;
    t.is(third.balance, 6_000);
});

// When an organisation returns after an idle second, its asks could be taken for repeated ones, or its spent grant for
// lost.
test("bucket: a holder that had forgotten the organisation is served, and its spent grant stays spent", t => {
    const home = { domain: HELD.domain, vm: HELD.home, limits: LIMITS };
    const start = { vm: HOLDER, run: ASK.run, domain: HELD.domain, limits: LIMITS, homes: [home], now: 0 };
    const forgotten = openAllowance({ ...start, servesFrom: undefined });
    const asks = [1, 1_300].map(now => {
        const [effect] = askHome(forgotten, home, { need: 1_000, ahead: 0, giveBack: 0 }, now).effects;
        return effect?.kind === "ask" ? effect.ask : ASK;
    });
    const first = answerAsk(full, HOLDER, asks[0]!, HOME_INCARNATION, NO_OWN_CLAIM, 1).bucket;
    const second = answerAsk(first, HOLDER, asks[1]!, HOME_INCARNATION, NO_OWN_CLAIM, 1_300);
    t.is(second.answer?.granted, 1_000);
    t.is(second.bucket.balance, 8_000);
});

// A VM is restarted and its new process asks for the first time. Tokens that the former one held may still be in use.
test("bucket: the former grant of a restarted holder is left to expire", t => {
    const restarted = { ...ASK, run: Incarnation.parse("holder-2"), need: 0 };
    const next = answerAsk(granted, HOLDER, restarted, HOME_INCARNATION, NO_OWN_CLAIM, 10).bucket;
    t.is(levelOf(next), LIMITS.burst);
    t.is(next.balance, 6_000);
});

// A long request is charged 5,000, the bucket fills up again and is spent entirely, and then 4,900 are refunded.
test("bucket: a refund is capped by the room in the bucket since the charge", t => {
    const later = 20_000;
    const charged = { ...advanceBucket(full, 2_000), balance: 5_000 };
    const filled = advanceBucket(charged, later);
    t.is(filled.balance, LIMITS.burst);
    const spent = { ...filled, balance: 0 };
    t.is(refundToBucket(spent, slotAt(2_000), 4_900, later).balance, 0);
    const early = advanceBucket(charged, 3_100);
    t.is(Math.round(refundToBucket(early, slotAt(3_050), 3_000, 3_100).balance), 9_100);
});

[
    { name: "the answer to an earlier ask", held: HELD, answer: { ...ANSWER, seq: 6 } },
    { name: "the same answer again", held: applyAnswer(HELD, ANSWER, 1_010), answer: ANSWER },
].forEach(({ name, held, answer }) =>
    // The holder's asks show that it will not use this answer, so the home counts its tokens as void.
    test(`grant: ${name} is ignored`, t => {
        t.is(applyAnswer(held, answer, 1_200).left, held.left);
    })
);

// A message that hands tokens back is lost or late. If the tokens were still held here, they could be spent at two VMs.
test("grant: tokens that are handed back are debited before the message is sent", t => {
    const home = { domain: HELD.domain, vm: HELD.home, limits: LIMITS };
    const start = { vm: HOLDER, run: ASK.run, domain: HELD.domain, limits: LIMITS, homes: [home], now: 0 };
    const held = { ...HELD, pendingSince: undefined };
    const allowance = { ...openAllowance({ ...start, servesFrom: undefined }), held: [held] };
    const { state } = askHome(allowance, home, { need: 0, ahead: 0, giveBack: 60 }, 400);
    t.is(state.held[0]?.left, 40);
});

// If a grant's lifetime began with a late answer, its tokens could be spent after the home has accrued them again.
test("grant: its lifetime starts when it was asked for", t => {
    const late = applyAnswer(HELD, ANSWER, 1_000 + timing.grantMs - 10);
    t.is(usableTokens(late, 1_000 + timing.grantMs - 5), 4_000);
    t.is(usableTokens(late, 1_000 + timing.grantMs), 0);
    t.true(timing.keepMs > timing.grantMs);
});
