import type { Millis, Step, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import { usableTokens } from "./usableTokens.js";

/** How much is asked for, and handed back. */
type Wish = { readonly need: Tokens; readonly ahead: Tokens; readonly giveBack: Tokens; };

const MICROS_PER_MILLI = 1_000;

/**
 * What is held of a home that was not asked yet. Sequence numbers begin at the clock's microseconds: an organisation that
 * was idle and forgotten here goes on above its earlier numbers, which its home still remembers.
 */
const untouched = ({ domain, vm }: Home, now: Millis): HeldGrant => ({
    domain,
    home: vm,
    homeRun: undefined,
    left: 0,
    counted: 0,
    expiresAt: -Infinity,
    slot: 0,
    seq: Math.floor(now * MICROS_PER_MILLI),
    applied: 0,
    pendingSince: undefined,
    askedAt: -Infinity,
    heardAt: -Infinity,
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
 * Sends one ask to a home, unless one is under way. Tokens that are handed back are debited first, so that a lost message
 * loses them rather than doubling them.
 */
export function askHome(allowance: Allowance, home: Home, wish: Wish, now: Millis): Step<Allowance, AllowanceEffect> {
    const held = allowance.held.find(entry => entry.home === home.vm) ?? untouched(home, now);
    if (held.pendingSince !== undefined || home.vm === allowance.vm) {
        return { state: allowance, effects: [] };
    }
    const giveBack = Math.min(wish.giveBack, usableTokens(held, now));
    const left = usableTokens(held, now) - giveBack;
    const seq = held.seq + 1;
    const asked: HeldGrant = { ...held, left, counted: left, seq, refunds: [], pendingSince: now, askedAt: now };
    const others = allowance.held.filter(entry => entry.home !== home.vm);
    return {
        state: { ...allowance, held: [...others, asked] },
        effects: [{
            kind: "ask",
            to: home.vm,
            ask: {
                run: allowance.run,
                home: held.homeRun,
                seq,
                applied: held.applied,
                held: left,
                giveBack,
                need: wish.need,
                waitedMs: wish.need > 0 ? now - (allowance.waiters[0]?.since ?? now) : 0,
                ahead: wish.ahead,
                refunds: held.refunds,
            },
        }],
    };
}
