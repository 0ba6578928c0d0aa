import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

import type { Spender } from "./Spender.js";

/** A counter as last received. */
type ReceivedCounter = {
    /** Tokens spent since the counter began. */
    readonly spent: Tokens;
    /** Moved on by the time in which this process did not run since then. */
    readonly receivedAt: Millis;
    /** How much earlier than `receivedAt` it was received; 0 if omitted. */
    readonly pausedMs?: Millis;
};

/** What was received of one spender's spending for one organisation. */
type PeerSpending = {
    /**
     * Counters by the process that counts, each from 0; `undefined` stands for a sum that this VM adds up itself. An
     * earlier process's counter is kept for `EXPIRY_MS`, as its last beacons may be delayed.
     */
    readonly counters: ReadonlyMap<Incarnation | undefined, ReceivedCounter>;
    /** Tokens assumed to be spent there while VMs were silent. */
    readonly assumed: Tokens;
    /** Since when spending has been assumed; `undefined` if none was. */
    readonly assumedFrom: Millis | undefined;
};

/** One organisation's allowance as one VM computes it: a token bucket that all VMs share and drain. */
export type SharedAllowance = {
    readonly ratePerSecond: Tokens;
    readonly burst: Tokens;
    /** Tokens that may be spent; below 0 if the VMs together spent more than each knew of. */
    readonly level: Tokens;
    /** Time to which the level was advanced. */
    readonly at: Millis;
    readonly openedAt: Millis;
    /**
     * How far below 0 the level may go before requests are refused. It shrinks to 0 within 10 s of the opening, and is
     * 0 while there may be more VMs than are known.
     */
    readonly overdraft: Tokens;
    /** Tokens spent by this process. */
    readonly ownSpent: Tokens;
    /** Received spending by spender. */
    readonly peers: ReadonlyMap<Spender, PeerSpending>;
};
