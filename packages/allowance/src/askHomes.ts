import type { Millis, Step, Tokens } from "@azureshunt/core";

import { aheadTokens } from "./aheadTokens.js";
import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { askHome } from "./askHome.js";
import { availableTokens } from "./availableTokens.js";
import type { Home } from "./Home.js";
import { isLate } from "./isLate.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;
/** Fraction of its burst below which this VM's own bucket is left to other VMs, and tokens are asked for elsewhere. */
const LOW_BUCKET_FRACTION = 0.5;

type AllowanceStep = Step<Allowance, AllowanceEffect>;

/** Fraction of its burst by which a home in this VM's own failure domain is preferred. */
const LOCAL_PREFERENCE_FRACTION = 0.05;

/** Estimates the tokens in a home's bucket now from its last answer; its whole burst if it never answered. */
const expectedFree = (allowance: Allowance, home: Home, now: Millis): Tokens => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    const { burst } = home.limits;
    if (held === undefined || held.answeredAt === -Infinity) {
        return burst;
    }
    return Math.min(burst, held.free + held.rate * (now - held.answeredAt) / MS_PER_SECOND);
};

/**
 * Sorts homes by expected free tokens, most first. Drawing from the fullest bucket keeps all buckets below their
 * bursts: a full bucket accrues nothing, so the organisation would get less than its rate.
 */
const fullestFirst = (allowance: Allowance, homes: readonly Home[], now: Millis): readonly Home[] => {
    const rank = (home: Home): number =>
        expectedFree(allowance, home, now) +
        (home.domain === allowance.domain ? LOCAL_PREFERENCE_FRACTION * home.limits.burst : 0);
    return [...homes].sort((a, b) => rank(b) - rank(a));
};

const isReachable = (allowance: Allowance, home: Home, now: Millis): boolean => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    const failedAt = held?.failedAt ?? held?.decliningSince;
    const hasFailed = failedAt !== undefined && failedAt + timing.unreachableMs > now;
    return !hasFailed && (held === undefined || !isLate(held, now));
};

const isAskDue = (allowance: Allowance, home: Home, intervalMs: Millis, now: Millis): boolean => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    return held === undefined || held.askedAt + intervalMs <= now;
};

/** Recalls tokens of this VM's bucket from the VMs that hold some, because requests wait here. */
const recallGrants = (allowance: Allowance, now: Millis): AllowanceStep => {
    const { bucket } = allowance;
    if (bucket === undefined) {
        return { state: allowance, effects: [] };
    }
    const due = [...bucket.holders]
        .filter(([, holder]) => holder.outstanding > 0 && holder.recalledAt + timing.recallMs <= now)
        .map(([vm]) => vm);
    const holders = new Map(
        [...bucket.holders].map(([vm, holder]) => [vm, due.includes(vm) ? { ...holder, recalledAt: now } : holder]),
    );
    return {
        state: { ...allowance, bucket: due.length === 0 ? bucket : { ...bucket, holders } },
        effects: due.map(to => ({ kind: "recall", to, waitedMs: now - (allowance.waiters[0]?.since ?? now) })),
    };
};

type PlannedAsk = { readonly home: Home; readonly need: Tokens; readonly ahead: Tokens; };

const askEach = (start: AllowanceStep, planned: readonly PlannedAsk[], now: Millis) =>
    planned.reduce<AllowanceStep>((step, { home, need, ahead }) => {
        const next = askHome(step.state, home, { need, ahead, giveBack: 0 }, now);
        return { state: next.state, effects: [...step.effects, ...next.effects] };
    }, start);

/** Asks for the tokens that waiting requests lack: from one home if it has enough, else from all homes. */
const askForNeed = (allowance: Allowance, missing: Tokens, ahead: Tokens, now: Millis): AllowanceStep => {
    // While the organisation is over its rate, asking more often yields no more tokens.
    const isOverRate = allowance.lastRefusedAt !== undefined && allowance.lastRefusedAt + timing.maxWaitMs > now;
    const intervalMs = isOverRate ? timing.askAheadIntervalMs : timing.askIntervalMs;
    const others = allowance.homes.filter(home => home.vm !== allowance.vm);
    const due = others
        .filter(home => isAskDue(allowance, home, intervalMs, now))
        .filter(home =>
            isReachable(allowance, home, now) || isAskDue(allowance, home, timing.failedAskIntervalMs, now)
        );
    const reachable = fullestFirst(allowance, others.filter(home => isReachable(allowance, home, now)), now);
    const fullest = reachable[0];
    const isFirstRound = allowance.waiters.every(waiter => waiter.rounds === 0);
    const hasEnough = isFirstRound && fullest !== undefined && expectedFree(allowance, fullest, now) >= missing;
    const sum = reachable.reduce((free, home) => free + expectedFree(allowance, home, now), 1);
    const needFrom = (home: Home): Tokens =>
        isFirstRound && sum >= missing ? Math.ceil(missing * expectedFree(allowance, home, now) / sum) : missing;
    const planned = hasEnough
        ? [{ home: fullest, need: Math.ceil(missing), ahead }]
        : due.map(home => ({ home, need: Math.ceil(needFrom(home)), ahead: 0 }));
    const step = askEach(recallGrants(allowance, now), planned, now);
    const waiters = step.effects.some(effect => effect.kind === "ask")
        ? step.state.waiters.map(waiter => ({ ...waiter, rounds: waiter.rounds + 1 }))
        : step.state.waiters;
    const wake: AllowanceEffect = { kind: "wake", at: now + intervalMs };
    return { state: { ...step.state, waiters }, effects: [...step.effects, wake] };
};

/**
 * Asks for tokens ahead of need, so that the next requests find them here, and so that tokens are already where they
 * are spent if a network partition follows.
 */
const askAhead = (allowance: Allowance, missing: Tokens, now: Millis): AllowanceStep => {
    const homes = allowance.homes
        .filter(home => home.vm !== allowance.vm)
        .filter(home => isReachable(allowance, home, now))
        .filter(home => isAskDue(allowance, home, timing.askAheadIntervalMs, now));
    const ordered = fullestFirst(allowance, homes, now);
    const fullest = ordered[0];
    const hasEnough = fullest !== undefined && expectedFree(allowance, fullest, now) >= 2 * missing;
    const asked = hasEnough ? [fullest] : ordered;
    const part = Math.ceil(missing / Math.max(1, asked.length));
    return askEach(
        { state: allowance, effects: [] },
        asked.map(home => ({ home, need: 0, ahead: part })),
        now,
    );
};

/** Returns whether this VM's own bucket is low, so that its tokens are left to other VMs. */
const isOwnBucketLow = ({ bucket }: Allowance): boolean =>
    bucket !== undefined && bucket.balance < bucket.limits.burst * LOW_BUCKET_FRACTION;

/** Asks homes for the tokens that waiting requests lack or, if none wait, for tokens ahead of need. */
export function askHomes(allowance: Allowance, now: Millis): AllowanceStep {
    const available = availableTokens(allowance, now);
    const target = aheadTokens(allowance, now);
    const owed = allowance.waiters.reduce((sum, waiter) => sum + waiter.tokens, allowance.debt);
    if (allowance.waiters.length > 0) {
        return askForNeed(allowance, Math.max(1, owed - available), Math.ceil(target), now);
    }
    const availableHere = isOwnBucketLow(allowance)
        ? available - Math.max(0, allowance.bucket?.balance ?? 0)
        : available;
    if (availableHere < target / 2) {
        return askAhead(allowance, Math.ceil(target - availableHere), now);
    }
    return { state: allowance, effects: [] };
}
