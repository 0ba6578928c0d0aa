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
/** Below this part of its burst a home's own bucket is spared for other VMs. */
const LOW_BUCKET = 0.5;

type AllowanceStep = Step<Allowance, AllowanceEffect>;

/** Part of its burst by which a home of the own failure domain is preferred. */
const NEARNESS = 0.05;

/** Tokens that a home's bucket has by now, as far as its last answer tells; all that it can hold when it never gave one. */
const expectedFree = (allowance: Allowance, home: Home, now: Millis): Tokens => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    const { burst } = home.limits;
    if (held === undefined || held.heardAt === -Infinity) {
        return burst;
    }
    return Math.min(burst, held.free + held.rate * (now - held.heardAt) / MS_PER_SECOND);
};

/**
 * The homes, the fullest first. Drawing from the fullest keeps all buckets below their bursts: one that stands full
 * accrues nothing, and the organisation would get less than its rate.
 */
const fullestFirst = (allowance: Allowance, homes: readonly Home[], now: Millis): readonly Home[] => {
    const rank = (home: Home): number =>
        expectedFree(allowance, home, now) + (home.domain === allowance.domain ? NEARNESS * home.limits.burst : 0);
    return [...homes].sort((a, b) => rank(b) - rank(a));
};

const isReachable = (allowance: Allowance, home: Home, now: Millis): boolean => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    const failedAt = held?.failedAt ?? held?.decliningSince;
    const hasFailed = failedAt !== undefined && failedAt + timing.unreachableMs > now;
    return !hasFailed && (held === undefined || !isLate(held, now));
};

const mayAskAgain = (allowance: Allowance, home: Home, pauseMs: Millis, now: Millis): boolean => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    return held === undefined || held.askedAt + pauseMs <= now;
};

/** Tells other VMs that hold tokens of this home's bucket that requests wait here. */
const recallOwn = (allowance: Allowance, now: Millis): AllowanceStep => {
    const { bucket } = allowance;
    if (bucket === undefined) {
        return { state: allowance, effects: [] };
    }
    const due = [...bucket.takers]
        .filter(([, taker]) => taker.outstanding > 0 && taker.recalledAt + timing.recallMs <= now)
        .map(([vm]) => vm);
    const takers = new Map(
        [...bucket.takers].map(([vm, taker]) => [vm, due.includes(vm) ? { ...taker, recalledAt: now } : taker]),
    );
    return {
        state: { ...allowance, bucket: due.length === 0 ? bucket : { ...bucket, takers } },
        effects: due.map(to => ({ kind: "recall", to, waitedMs: now - (allowance.waiters[0]?.since ?? now) })),
    };
};

type Wish = { readonly home: Home; readonly need: Tokens; readonly ahead: Tokens; };

const askEach = (start: AllowanceStep, wishes: readonly Wish[], now: Millis) =>
    wishes.reduce<AllowanceStep>((step, { home, need, ahead }) => {
        const next = askHome(step.state, home, { need, ahead, giveBack: 0 }, now);
        return { state: next.state, effects: [...step.effects, ...next.effects] };
    }, start);

/** Asks for what waiting requests lack: one home that has enough, else all of them. */
const askForNeed = (allowance: Allowance, missing: Tokens, ahead: Tokens, now: Millis): AllowanceStep => {
    // While the organisation is over its rate, more asks bring no more tokens.
    const strained = allowance.strainedAt !== undefined && allowance.strainedAt + timing.maxWaitMs > now;
    const pauseMs = strained ? timing.askAheadMs : timing.askAgainMs;
    const others = allowance.homes.filter(home => home.vm !== allowance.vm);
    const due = others
        .filter(home => mayAskAgain(allowance, home, pauseMs, now))
        .filter(home => isReachable(allowance, home, now) || mayAskAgain(allowance, home, timing.askFailedMs, now));
    const reachable = fullestFirst(allowance, others.filter(home => isReachable(allowance, home, now)), now);
    const fullest = reachable[0];
    const firstRound = allowance.waiters.every(waiter => waiter.rounds === 0);
    const enough = firstRound && fullest !== undefined && expectedFree(allowance, fullest, now) >= missing;
    const sum = reachable.reduce((free, home) => free + expectedFree(allowance, home, now), 1);
    const partOf = (home: Home): Tokens =>
        firstRound && sum >= missing ? Math.ceil(missing * expectedFree(allowance, home, now) / sum) : missing;
    const wishes = enough
        ? [{ home: fullest, need: Math.ceil(missing), ahead }]
        : due.map(home => ({ home, need: Math.ceil(partOf(home)), ahead: 0 }));
    const step = askEach(recallOwn(allowance, now), wishes, now);
    const waiters = step.effects.some(effect => effect.kind === "ask")
        ? step.state.waiters.map(waiter => ({ ...waiter, rounds: waiter.rounds + 1 }))
        : step.state.waiters;
    const wake: AllowanceEffect = { kind: "wake", at: now + pauseMs };
    return { state: { ...step.state, waiters }, effects: [...step.effects, wake] };
};

/** Asks ahead of need, so that the next requests find tokens here and tokens stand where they are spent before a cut. */
const askAhead = (allowance: Allowance, missing: Tokens, now: Millis): AllowanceStep => {
    const homes = allowance.homes
        .filter(home => home.vm !== allowance.vm)
        .filter(home => isReachable(allowance, home, now))
        .filter(home => mayAskAgain(allowance, home, timing.askAheadMs, now));
    const ordered = fullestFirst(allowance, homes, now);
    const fullest = ordered[0];
    const enough = fullest !== undefined && expectedFree(allowance, fullest, now) >= 2 * missing;
    const asked = enough ? [fullest] : ordered;
    const part = Math.ceil(missing / Math.max(1, asked.length));
    return askEach(
        { state: allowance, effects: [] },
        asked.map(home => ({ home, need: 0, ahead: part })),
        now,
    );
};

/** Whether this VM's own bucket is the one to be spared. */
const ownIsLow = ({ bucket }: Allowance): boolean =>
    bucket !== undefined && bucket.balance < bucket.limits.burst * LOW_BUCKET;

/** Sends the asks that the state of an allowance calls for. */
export function askHomes(allowance: Allowance, now: Millis): AllowanceStep {
    const available = availableTokens(allowance, now);
    const target = aheadTokens(allowance, now);
    const waiting = allowance.waiters.reduce((sum, waiter) => sum + waiter.tokens, allowance.debt);
    if (allowance.waiters.length > 0) {
        return askForNeed(allowance, Math.max(1, waiting - available), Math.ceil(target), now);
    }
    const here = ownIsLow(allowance) ? available - Math.max(0, allowance.bucket?.balance ?? 0) : available;
    if (here < target / 2) {
        return askAhead(allowance, Math.ceil(target - here), now);
    }
    return { state: allowance, effects: [] };
}
