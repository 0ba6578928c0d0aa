import type { Millis, Step } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { availableTokens } from "./availableTokens.js";
import { charge } from "./charge.js";
import { judgeWaiter } from "./judgeWaiter.js";
import { outlookOf } from "./outlookOf.js";

const admitFirst = (before: Allowance, now: Millis): Step<Allowance, AllowanceEffect> => {
    const [first, ...rest] = before.waiters;
    const charged = first === undefined ? undefined : charge(before, first.tokens, now);
    if (first === undefined || charged === undefined) {
        return { state: before, effects: [] };
    }
    const next = admitFirst({ ...charged.allowance, waiters: rest }, now);
    return { state: next.state, effects: [{ kind: "admit", id: first.id, parts: charged.parts }, ...next.effects] };
};

/**
 * Admits waiting requests in order while the tokens here suffice, and refuses at once each one that cannot be served in
 * time. A refusal is never delayed until the request's deadline, since its caller could go elsewhere meanwhile.
 */
export function serveWaiters(before: Allowance, now: Millis): Step<Allowance, AllowanceEffect> {
    const admitted = admitFirst(before, now);
    const allowance = admitted.state;
    if (allowance.waiters.length === 0) {
        return admitted;
    }
    const outlook = outlookOf(allowance, now);
    const available = availableTokens(allowance, now) - allowance.debt;
    const judged = allowance.waiters.reduce<{
        readonly missing: number;
        readonly waiters: Allowance["waiters"];
        readonly effects: readonly AllowanceEffect[];
    }>((sofar, waiter) => {
        const missing = sofar.missing + waiter.tokens;
        const verdict = judgeWaiter(waiter, missing, outlook, now);
        return verdict.kind === "wait"
            ? { ...sofar, missing, waiters: [...sofar.waiters, waiter] }
            : { ...sofar, effects: [...sofar.effects, { ...verdict, id: waiter.id }] };
    }, { missing: -available, waiters: [], effects: [] });
    const lastRefusedAt = judged.effects.length > 0 ? now : allowance.lastRefusedAt;
    // A large request that was refused may have blocked smaller ones behind it that can be served.
    const rest = admitFirst({ ...allowance, waiters: judged.waiters, lastRefusedAt }, now);
    return { state: rest.state, effects: [...admitted.effects, ...judged.effects, ...rest.effects] };
}
