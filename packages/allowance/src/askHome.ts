import type { Millis, Step, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import { usableTokens } from "./usableTokens.js";

/** Tokens to ask for and to hand back. */
type AskAmounts = { readonly need: Tokens; readonly ahead: Tokens; readonly giveBack: Tokens; };

const MICROS_PER_MILLI = 1_000;

/**
 * Creates the entry of a home that was not asked yet. Sequence numbers start at the clock's microseconds, so that an
 * organisation that was idle and forgotten here continues above its earlier numbers, which its home still remembers.
 */
const initialGrant = ({ domain, vm }: Home, now: Millis): HeldGrant => ({
    domain,
    home: vm,
    homeIncarnation: undefined,
    left: 0,
    outstandingAtHome: 0,
    expiresAt: -Infinity,
    slot: 0,
    seq: Math.floor(now * MICROS_PER_MILLI),
    applied: 0,
    pendingSince: undefined,
    askedAt: -Infinity,
    answeredAt: -Infinity,
    answerMs: 0,
    failedAt: undefined,
    decliningSince: undefined,
    refunds: [],
    free: 0,
    rate: 0,
    elsewhere: 0,
    unmet: 0,
});

/**
 * Sends one ask to a home, unless one is pending. Tokens that are handed back are debited first, so that a lost message
 * loses them instead of duplicating them.
 */
export function askHome(
    allowance: Allowance,
    home: Home,
    amounts: AskAmounts,
    now: Millis,
): Step<Allowance, AllowanceEffect> {
    const held = allowance.held.find(entry => entry.home === home.vm) ?? initialGrant(home, now);
    if (held.pendingSince !== undefined || home.vm === allowance.vm) {
        return { state: allowance, effects: [] };
    }
    const giveBack = Math.min(amounts.giveBack, usableTokens(held, now));
    const left = usableTokens(held, now) - giveBack;
    const seq = held.seq + 1;
    const asked: HeldGrant = {
        ...held,
        left,
        outstandingAtHome: left,
        seq,
        refunds: [],
        pendingSince: now,
        askedAt: now,
    };
    const others = allowance.held.filter(entry => entry.home !== home.vm);
    return {
        state: { ...allowance, held: [...others, asked] },
        effects: [{
            kind: "ask",
            to: home.vm,
            ask: {
                run: allowance.run,
                home: held.homeIncarnation,
                seq,
                applied: held.applied,
                held: left,
                giveBack,
                need: amounts.need,
                waitedMs: amounts.need > 0 ? now - (allowance.waiters[0]?.since ?? now) : 0,
                ahead: amounts.ahead,
                refunds: held.refunds,
            },
        }],
    };
}
