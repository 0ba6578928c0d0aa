import type { Clock, Millis } from "@azureshunt/core";

import { peerTiming } from "./peerTiming.js";

type UrgentSenderParts = {
    readonly clock: Clock;
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /** Sends urgent state to all targets; returns their number. */
    readonly send: () => number;
    /** Maximum time between two urgent sends; `undefined` if rounds are as close together. */
    readonly maxGapMs: () => Millis | undefined;
};

/** Sends state that cannot wait for the next round. */
type UrgentSender = {
    /** Requests an urgent send: at once, or as soon as the minimum gap has elapsed. */
    readonly sendSoon: () => void;
    /** Sends nothing any more, whatever is requested. */
    readonly stop: () => void;
};

/** Time between checks whether the number of VMs now requires urgent sends without an update. */
const RECHECK_MS: Millis = 1_000;
/** Minimum gap per target, so that continuous urgent sends take only a part of a small link. */
const MIN_GAP_PER_VM_MS: Millis = 4;

/**
 * Sends urgent state between rounds.
 *
 * An order makes an engine load other weights. Several orders are issued at a time, and each brings an update at its
 * beginning and at its end. VMs that have not received an order send requests to an engine that refuses them. So the
 * first update goes out at once, and those that follow it are sent together.
 *
 * Hundreds of VMs place requests by each other's load, which reaches them over three hops. If it were sent only in
 * rounds, it would be a second old, and queues would grow at some engines while others are idle.
 */
export function createUrgentSender({ clock, schedule, send, maxGapMs }: UrgentSenderParts): UrgentSender {
    const state = {
        isRequested: false,
        isStopped: false,
        nextAllowedAt: -Infinity as Millis,
        cancel: (): void => undefined,
    };
    const sendNow = (): void => {
        state.isRequested = false;
        const targets = send();
        state.nextAllowedAt = clock.now() + Math.max(peerTiming.urgentGapMs, targets * MIN_GAP_PER_VM_MS);
        scheduleNext();
    };
    /** Schedules the next send without an update, or a check whether one is due. */
    const scheduleNext = (): void => {
        const ms = maxGapMs();
        state.cancel = ms === undefined
            ? schedule(RECHECK_MS, scheduleNext)
            : schedule(Math.max(ms, state.nextAllowedAt - clock.now()), sendNow);
    };
    scheduleNext();
    return {
        sendSoon: () => {
            if (!state.isRequested && !state.isStopped) {
                state.isRequested = true;
                state.cancel();
                // Scheduled even without a delay, so that further updates of this event loop turn are sent with it.
                state.cancel = schedule(Math.max(0, state.nextAllowedAt - clock.now()), sendNow);
            }
        },
        stop: () => {
            state.isStopped = true;
            state.cancel();
        },
    };
}
