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

const TAKER = VmId.parse("vm-2");
const HOME_RUN = Incarnation.parse("home-1");
const LIMITS = { rate: 1_000, burst: 10_000 };
const NOBODY = { unmet: 0, since: Infinity };
const ASK: GrantAsk = {
    run: Incarnation.parse("taker-1"),
    home: HOME_RUN,
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
    homeRun: HOME_RUN,
    left: 100,
    counted: 100,
    expiresAt: 500,
    slot: 0,
    seq: 7,
    applied: 6,
    pendingSince: 1_000,
    askedAt: 1_000,
    heardAt: 0,
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
    run: HOME_RUN,
    extended: false,
    granted: 4_000,
    slot: 1,
    free: 0,
    rate: 0,
    elsewhere: 0,
    unmet: 0,
};

const full = openBucket(LIMITS, -Infinity, 0);
const granted = answerAsk(full, TAKER, ASK, HOME_RUN, NOBODY, 0).bucket;

// An ask is delivered again, seconds late. Its tokens, handed back or granted, would count twice.
test("bucket: a repeated ask has no effect", t => {
    const again = answerAsk(granted, TAKER, ASK, HOME_RUN, NOBODY, 10);
    t.is(again.answer, undefined);
    t.is(levelOf(again.bucket), levelOf(advanceBucket(granted, 10)));
});

// A VM hands back more than the home ever counted as outstanding: an old message of tokens that ran out meanwhile.
test("bucket: no more comes back than stands out", t => {
    const late = { ...ASK, seq: 2, applied: 1, giveBack: 4_000, need: 0 };
    const returned = answerAsk(granted, TAKER, late, HOME_RUN, NOBODY, timing.keepMs + 1).bucket;
    t.is(Math.round(returned.balance), 6_000 + LIMITS.rate / 1_000);
});

// Tokens are granted and not spent yet; the home accrues them anew; then both are spent at once.
test("bucket: nothing accrues for tokens that stand out", t => {
    t.true(levelOf(advanceBucket(granted, timing.keepMs - 1)) <= LIMITS.burst);
    t.is(advanceBucket(granted, timing.keepMs - 1).balance, 6_000);
    t.true(advanceBucket(granted, timing.keepMs + 2_000).balance > 6_000);
});

// An answer gets lost after the home has granted. The taker's next ask says so, and the tokens are not lost for good.
test("bucket: a grant whose answer never came is void", t => {
    const second = answerAsk(granted, TAKER, { ...ASK, seq: 2, applied: 1, need: 1_000 }, HOME_RUN, NOBODY, 0).bucket;
    t.is(second.balance, 5_000);
    const third = answerAsk(second, TAKER, { ...ASK, seq: 3, applied: 1, need: 0 }, HOME_RUN, NOBODY, 0).bucket;
    t.is(third.balance, 6_000);
});

// An organisation comes back after an idle second, and its asks pass for repetitions or its spent grant for a lost one.
test("bucket: a taker that had forgotten the organisation is served, and its spent grant stays spent", t => {
    const home = { domain: HELD.domain, vm: HELD.home, limits: LIMITS };
    const start = { vm: TAKER, run: ASK.run, domain: HELD.domain, limits: LIMITS, homes: [home], now: 0 };
    const forgotten = openAllowance({ ...start, servesFrom: undefined });
    const asks = [1, 1_300].map(now => {
        const [effect] = askHome(forgotten, home, { need: 1_000, ahead: 0, giveBack: 0 }, now).effects;
        return effect?.kind === "ask" ? effect.ask : ASK;
    });
    const first = answerAsk(full, TAKER, asks[0]!, HOME_RUN, NOBODY, 1).bucket;
    const second = answerAsk(first, TAKER, asks[1]!, HOME_RUN, NOBODY, 1_300);
    t.is(second.answer?.granted, 1_000);
    t.is(second.bucket.balance, 8_000);
});

// A VM is restarted: its new process asks for the first time. What the former one held may still be on its way out.
test("bucket: a restarted taker's former grant lapses on its own", t => {
    const restarted = { ...ASK, run: Incarnation.parse("taker-2"), need: 0 };
    const next = answerAsk(granted, TAKER, restarted, HOME_RUN, NOBODY, 10).bucket;
    t.is(levelOf(next), LIMITS.burst);
    t.is(next.balance, 6_000);
});

// A long request is charged 5,000, the bucket fills up again, all of it is spent, then 4,900 come back.
test("bucket: a refund is cut to the room that there was since the charge", t => {
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
    // The taker has told the home that it will not use this answer, so the home counts its tokens as void.
    test(`grant: ${name} is ignored`, t => {
        t.is(applyAnswer(held, answer, 1_200).left, held.left);
    })
);

// A message that hands tokens back is lost, or comes late. Still held here, they would be spent at two VMs.
test("grant: tokens that are handed back are gone before the message leaves", t => {
    const home = { domain: HELD.domain, vm: HELD.home, limits: LIMITS };
    const start = { vm: TAKER, run: ASK.run, domain: HELD.domain, limits: LIMITS, homes: [home], now: 0 };
    const held = { ...HELD, pendingSince: undefined };
    const allowance = { ...openAllowance({ ...start, servesFrom: undefined }), held: [held] };
    const { state } = askHome(allowance, home, { need: 0, ahead: 0, giveBack: 60 }, 400);
    t.is(state.held[0]?.left, 40);
});

// A grant is counted from a late answer, and its tokens are spent after the home has accrued them anew.
test("grant: it expires counted from when it was asked for", t => {
    const late = applyAnswer(HELD, ANSWER, 1_000 + timing.grantMs - 10);
    t.is(usableTokens(late, 1_000 + timing.grantMs - 5), 4_000);
    t.is(usableTokens(late, 1_000 + timing.grantMs), 0);
    t.true(timing.keepMs > timing.grantMs);
});
