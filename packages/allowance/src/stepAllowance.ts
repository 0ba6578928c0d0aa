import type { Millis, Step } from "@azureshunt/core";

import { advanceBucket } from "./advanceBucket.js";
import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import type { AllowanceEvent } from "./AllowanceEvent.js";
import { answerAsk } from "./answerAsk.js";
import { applyAnswer } from "./applyAnswer.js";
import { askHomes } from "./askHomes.js";
import { availableTokens } from "./availableTokens.js";
import { charge } from "./charge.js";
import { handOverBucket } from "./handOverBucket.js";
import { maintainGrants } from "./maintainGrants.js";
import { openBucket } from "./openBucket.js";
import { placeAllowance } from "./placeAllowance.js";
import { probeHomes } from "./probeHomes.js";
import { receiveBucket } from "./receiveBucket.js";
import { serveWaiters } from "./serveWaiters.js";
import { settleCharge } from "./settleCharge.js";
import { timing } from "./timing.js";

type AllowanceStep = Step<Allowance, AllowanceEffect>;
type EventOf<Kind extends AllowanceEvent["kind"]> = Extract<AllowanceEvent, { readonly kind: Kind; }>;

/** Opens this VM's own bucket if it may serve as home, and advances the bucket to `now`. */
const refresh = (allowance: Allowance, now: Millis): Allowance => {
    const { servesFrom, bucket, homes, vm } = allowance;
    const share = homes.find(home => home.vm === vm)?.limits;
    if (bucket !== undefined) {
        return { ...allowance, bucket: advanceBucket(bucket, now) };
    }
    return servesFrom === undefined || share === undefined
        ? allowance
        : { ...allowance, bucket: openBucket(share, servesFrom, now) };
};

/** Serves waiting requests, then asks homes for the tokens that are missing. */
const serve = (before: Allowance, now: Millis): AllowanceStep => {
    const served = serveWaiters(before, now);
    const asked = askHomes(served.state, now);
    const hasRefused = served.effects.some(effect => effect.kind === "refuse");
    const probed = hasRefused ? probeHomes(asked.state, now) : { state: asked.state, effects: [] };
    return { state: probed.state, effects: [...served.effects, ...asked.effects, ...probed.effects] };
};

const reserve = (before: Allowance, event: EventOf<"reserve">, now: Millis): AllowanceStep => {
    const { id, tokens, deadline } = event;
    if (tokens > before.limits.burst) {
        return { state: before, effects: [{ kind: "refuse", id, reason: "over-burst", retryAfterSeconds: undefined }] };
    }
    const charged = before.waiters.length === 0 ? charge(before, tokens, now) : undefined;
    if (charged !== undefined) {
        const asked = askHomes(charged.allowance, now);
        return { state: asked.state, effects: [{ kind: "admit", id, parts: charged.parts }, ...asked.effects] };
    }
    const until = Math.min(deadline, now + timing.unansweredWaitMs);
    const takeoverDeadline = Math.min(deadline, now + timing.takeoverMs);
    const waiter = { id, tokens, since: now, until, takeoverDeadline, rounds: 0 };
    return serve({ ...before, waiters: [...before.waiters, waiter] }, now);
};

const ask = (before: Allowance, event: EventOf<"ask">, now: Millis): AllowanceStep => {
    const to = event.from;
    if (before.servesFrom === undefined || before.bucket === undefined) {
        return { state: before, effects: [{ kind: "decline", to, seq: event.ask.seq }] };
    }
    const lacking = before.waiters.reduce((sum, waiter) => sum + waiter.tokens, 0) - availableTokens(before, now);
    const own = { unmet: Math.max(0, lacking), since: before.waiters[0]?.since ?? now };
    const { bucket, answer, recalls } = answerAsk(before.bucket, to, event.ask, before.run, own, now);
    const reply: AllowanceEffect = answer === undefined
        ? { kind: "decline", to, seq: event.ask.seq }
        : { kind: "answer", to, answer };
    const calls = recalls.map(vm => ({ kind: "recall", to: vm, waitedMs: event.ask.waitedMs }) as const);
    const served = serveWaiters({ ...before, bucket }, now);
    return { state: served.state, effects: [reply, ...calls, ...served.effects] };
};

const answered = (before: Allowance, event: EventOf<"answer">, now: Millis): AllowanceStep => {
    const held = before.held.map(entry => entry.home === event.from ? applyAnswer(entry, event.answer, now) : entry);
    return serve({ ...before, held }, now);
};

const unanswered = (before: Allowance, event: EventOf<"unanswered">, now: Millis): AllowanceStep => {
    const held = before.held.map(entry =>
        entry.home === event.from && entry.seq === event.seq && entry.pendingSince !== undefined
            ? { ...entry, pendingSince: undefined, failedAt: now }
            : entry
    );
    return serve({ ...before, held }, now);
};

const declined = (before: Allowance, event: EventOf<"declined">, now: Millis): AllowanceStep => {
    const held = before.held.map(entry =>
        entry.home === event.from && entry.seq === event.seq && entry.pendingSince !== undefined
            ? { ...entry, pendingSince: undefined, decliningSince: entry.decliningSince ?? now }
            : entry
    );
    return serve({ ...before, held }, now);
};

/** Hands back all tokens, unless a request waiting here arrived before those that lack the tokens. */
const recalled = (before: Allowance, event: EventOf<"recall">, now: Millis): AllowanceStep => {
    const oldest = before.waiters[0]?.since;
    const hasWaitedLonger = oldest !== undefined && now - oldest >= event.waitedMs;
    return hasWaitedLonger ? { state: before, effects: [] } : maintainGrants(before, true, now);
};

const tick = (before: Allowance, now: Millis): AllowanceStep => {
    const served = serve(before, now);
    const maintained = maintainGrants(served.state, false, now);
    return { state: maintained.state, effects: [...served.effects, ...maintained.effects] };
};

const step = (before: Allowance, event: AllowanceEvent, now: Millis): AllowanceStep => {
    switch (event.kind) {
        case "reserve":
            return reserve(before, event, now);
        case "abandon":
            return serve({ ...before, waiters: before.waiters.filter(waiter => waiter.id !== event.id) }, now);
        case "settle":
            return serve(settleCharge(before, event.parts, event.used, now), now);
        case "ask":
            return ask(before, event, now);
        case "answer":
            return answered(before, event, now);
        case "unanswered":
            return unanswered(before, event, now);
        case "declined":
            return declined(before, event, now);
        case "recall":
            return recalled(before, event, now);
        case "drain":
            return maintainGrants({ ...before, waiters: [] }, true, now);
        case "placed":
            return serve(refresh(placeAllowance(before, event, now), now), now);
        case "handed":
            return serve(receiveBucket(before, event.bucket, now), now);
        case "hand-over":
            return handOverBucket(before, event.to, now);
        case "tick":
            return tick(before, now);
    }
};

/** Applies one event to an organisation's allowance on one VM, which holds grants of homes and may be a home itself. */
export function stepAllowance(before: Allowance, event: AllowanceEvent, now: Millis): AllowanceStep {
    return step(refresh(before, now), event, now);
}
