import type { Millis, Step, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { askHome } from "./askHome.js";
import { availableTokens } from "./availableTokens.js";
import { demandAt } from "./demandAt.js";
import type { Home } from "./Home.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

type AllowanceStep = Step<Allowance, AllowanceEffect>;

const freeAt = (allowance: Allowance, home: Home, now: Millis): Tokens => {
    const held = allowance.held.find(entry => entry.home === home.vm);
    if (held === undefined || held.heardAt + timing.freshMs <= now) {
        return Number.MAX_SAFE_INTEGER;
    }
    return held.free + held.rate * (now - held.heardAt) / MS_PER_SECOND;
};

const isReachable = (allowance: Allowance, home: Home, now: Millis): boolean => {
    const failedAt = allowance.held.find(entry => entry.home === home.vm)?.failedAt;
    return failedAt === undefined || failedAt + timing.unreachableMs <= now;
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
        effects: due.map(to => ({ kind: "recall", to })),
    };
};

const askEach = (start: AllowanceStep, homes: readonly Home[], need: Tokens, ahead: Tokens, now: Millis) =>
    homes.reduce<AllowanceStep>((step, home) => {
        const next = askHome(step.state, home, { need, ahead, giveBack: 0 }, now);
        return { state: next.state, effects: [...step.effects, ...next.effects] };
    }, start);

/** Asks for what waiting requests lack: the home of this failure domain first, the others for what it has not got. */
const askForNeed = (allowance: Allowance, missing: Tokens, ahead: Tokens, now: Millis): AllowanceStep => {
    // While the organisation is over its rate, more asks bring no more tokens.
    const strained = allowance.strainedAt !== undefined && allowance.strainedAt + timing.maxWaitMs > now;
    const pauseMs = strained ? timing.askAheadMs : timing.askAgainMs;
    const homes = allowance.homes
        .filter(home => home.vm !== allowance.vm)
        .filter(home => mayAskAgain(allowance, home, pauseMs, now))
        .filter(home => isReachable(allowance, home, now) || mayAskAgain(allowance, home, timing.askTimeoutMs, now));
    const near = allowance.homes.find(home => home.domain === allowance.domain && home.vm !== allowance.vm);
    const nearFree = near !== undefined && isReachable(allowance, near, now) ? freeAt(allowance, near, now) : 0;
    const nearFirst = near !== undefined && nearFree >= missing;
    const asked = nearFirst ? homes.filter(home => home === near) : homes;
    const far = asked.filter(home => home !== near);
    const beyond = Math.max(0, missing - nearFree);
    const firstRound = allowance.waiters.every(waiter => waiter.rounds <= 1);
    const farNeed = Math.ceil(firstRound ? beyond / Math.max(1, far.length) : beyond);
    const start = recallOwn(allowance, now);
    const nearStep = askEach(start, asked.filter(home => home === near), Math.ceil(missing), ahead, now);
    const step = askEach(nearStep, far, farNeed, nearFirst ? 0 : ahead, now);
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
        .filter(home => mayAskAgain(allowance, home, timing.askAheadMs, now));
    const near = allowance.homes.find(home => home.domain === allowance.domain);
    const nearFree = near === undefined || near.vm === allowance.vm ? 0 : freeAt(allowance, near, now);
    const enough = near !== undefined && isReachable(allowance, near, now) && nearFree >= missing;
    return askEach(
        { state: allowance, effects: [] },
        enough ? homes.filter(home => home === near) : homes,
        0,
        missing,
        now,
    );
};

/** Sends the asks that the state of an allowance calls for. */
export function askHomes(allowance: Allowance, now: Millis): AllowanceStep {
    const available = availableTokens(allowance, now);
    const target = demandAt(allowance, now) * timing.aheadMs / MS_PER_SECOND;
    const waiting = allowance.waiters.reduce((sum, waiter) => sum + waiter.tokens, allowance.debt);
    if (allowance.waiters.length > 0) {
        return askForNeed(allowance, Math.max(1, waiting - available), Math.ceil(target), now);
    }
    if (available < target / 2) {
        return askAhead(allowance, Math.ceil(target - available), now);
    }
    return { state: allowance, effects: [] };
}
