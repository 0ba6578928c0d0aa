import type { Clock, Millis } from "@azureshunt/core";
import { bodyLevels, hasRoomForBody, lateBodies, orderBodies, pledgedBytes } from "@azureshunt/flow";
import type { WaitingBody } from "@azureshunt/flow";
import { startTimeout } from "@azureshunt/lifecycle";

import type { BodyTurn } from "./BodyTurn.js";
import type { HeldAccount } from "./HeldAccount.js";

type QueueParts = {
    readonly clock: Pick<Clock, "now">;
    readonly budget: () => number;
    /** What is held for all requests. */
    readonly heldBytes: () => number;
    /** Bytes of all buffers, also of those that are not collected yet. */
    readonly bufferBytes: () => number;
};

type Waiter = WaitingBody & { readonly account: HeldAccount; readonly resolve: (turn: BodyTurn) => void; };

type Reservation = {
    readonly organisation: string | undefined;
    readonly bytes: number;
    readonly readSince: Millis;
    readBytes: number;
    isWhole: boolean;
    recentBytes: number;
    windowBytes: number;
    windowAt: Millis;
};

/** The large bodies of callers' requests. */
type BodyQueue = {
    /** Waits for the turn of a request's body. */
    readonly enter: (account: HeldAccount, body: WaitingBody) => BodyTurn | Promise<BodyTurn>;
    /** Records bytes that have come of a body. */
    readonly record: (account: HeldAccount, bytes: number) => void;
    /** Records that a body is whole. */
    readonly complete: (account: HeldAccount) => void;
    /** Frees what is reserved for a request, and its place in the queue. */
    readonly release: (account: HeldAccount) => void;
    readonly tick: () => void;
    readonly waiting: () => number;
    /** Time after which those that wait now have been served; `undefined` if it is not known. */
    readonly roomInMs: () => Millis | undefined;
};

/** Time over which the rate is measured at which reserved bytes become free. */
const RATE_MS = 2_000;
/** Interval of looking for room while bodies wait; nothing tells of a collection. */
const RECHECK_MS = 20;

/** Creates the queue of large bodies, which lets callers wait unread until there is room for a whole body. */
export function createBodyQueue({ clock, budget, heldBytes, bufferBytes }: QueueParts): BodyQueue {
    /** In the order of their arrival. */
    const waiters = new Map<HeldAccount, Waiter>();
    const reservations = new Map<HeldAccount, Reservation>();
    const state = {
        freedBytes: 0,
        busyMs: 0,
        tickedAt: clock.now(),
        busySince: undefined as Millis | undefined,
        /** When a body was let in last. */
        turnAt: -Infinity,
        cancelRecheck: undefined as (() => void) | undefined,
    };

    const sumOf = (count: (reservation: Reservation) => number): number =>
        [...reservations.values()].reduce((sum, reservation) => sum + count(reservation), 0);
    const pledgeOf = (reservation: Reservation): number =>
        pledgedBytes(
            { ...reservation, recentBytes: Math.max(reservation.recentBytes, reservation.windowBytes) },
            clock.now(),
        );
    const reservedBytes = (): number => sumOf(pledgeOf);
    const pendingBytes = (): number => sumOf(each => pledgeOf(each) - each.readBytes);
    const ordered = (): readonly Waiter[] =>
        orderBodies(
            [...waiters.values()],
            organisation => sumOf(each => each.organisation === organisation ? pledgeOf(each) : 0),
        );
    const bytesPerMs = (): number | undefined => {
        const isJudged = state.busySince !== undefined && clock.now() - state.busySince >= bodyLevels.judgedAfterMs;
        return isJudged && state.freedBytes > 0 ? state.freedBytes / state.busyMs : undefined;
    };
    const hasRoom = (bytes: number): boolean =>
        hasRoomForBody({
            bytes,
            reservedBytes: reservedBytes(),
            heldBytes: heldBytes(),
            pendingBytes: pendingBytes(),
            bufferBytes: bufferBytes(),
            unusedMs: clock.now() - state.turnAt,
            budget: budget(),
        });
    const reserve = (account: HeldAccount, { bytes, organisation }: WaitingBody): void => {
        const now = clock.now();
        state.turnAt = now;
        reservations.set(account, {
            organisation,
            bytes,
            readSince: now,
            readBytes: account.bodyBytes,
            isWhole: false,
            recentBytes: 0,
            windowBytes: 0,
            windowAt: now,
        });
    };
    const end = (account: HeldAccount, turn: BodyTurn): void => {
        const waiter = waiters.get(account);
        if (waiter !== undefined) {
            waiters.delete(account);
            waiter.resolve(turn);
        }
    };
    const readNext = (): void => {
        const [first] = ordered();
        if (first !== undefined && hasRoom(first.bytes)) {
            reserve(first.account, first);
            end(first.account, "read");
            readNext();
        }
    };
    const recheckLater = (): void => {
        state.cancelRecheck ??= startTimeout(RECHECK_MS, () => {
            state.cancelRecheck = undefined;
            readNext();
            if (waiters.size > 0) {
                recheckLater();
            }
        });
    };
    return {
        enter: (account, body) => {
            if (waiters.size === 0 && hasRoom(body.bytes)) {
                reserve(account, body);
                return "read";
            }
            if ((waiters.size + 1) * bodyLevels.waitingBytes > bodyLevels.waiting * budget()) {
                return "crowded";
            }
            return new Promise(resolve => {
                const waiter = { ...body, account, resolve };
                waiters.set(account, waiter);
                recheckLater();
                const query = { reservedBytes: reservedBytes(), bytesPerMs: bytesPerMs(), now: clock.now() };
                if (lateBodies(ordered(), query).includes(waiter)) {
                    end(account, "late");
                }
            });
        },
        record: (account, bytes) => {
            const reservation = reservations.get(account);
            if (reservation !== undefined) {
                reservation.readBytes += bytes;
                reservation.windowBytes += bytes;
            }
        },
        complete: account => {
            const reservation = reservations.get(account);
            if (reservation !== undefined) {
                reservation.isWhole = true;
                readNext();
            }
        },
        release: account => {
            end(account, "gone");
            const reservation = reservations.get(account);
            if (reservation !== undefined) {
                reservations.delete(account);
                state.freedBytes += reservation.isWhole ? reservation.readBytes : 0;
                readNext();
            }
        },
        tick: () => {
            const now = clock.now();
            const passedMs = now - state.tickedAt;
            const kept = Math.exp(-passedMs / RATE_MS);
            state.tickedAt = now;
            reservations.forEach(reservation => {
                if (now - reservation.windowAt >= bodyLevels.paceMs) {
                    reservation.recentBytes = reservation.windowBytes;
                    reservation.windowBytes = 0;
                    reservation.windowAt = now;
                }
            });
            if (waiters.size === 0) {
                state.freedBytes = 0;
                state.busyMs = 0;
                state.busySince = undefined;
                return;
            }
            state.busySince ??= now;
            state.freedBytes *= kept;
            state.busyMs = state.busyMs * kept + passedMs;
            lateBodies(ordered(), { reservedBytes: reservedBytes(), bytesPerMs: bytesPerMs(), now })
                .forEach(({ account }) => end(account, "late"));
            readNext();
        },
        waiting: () => waiters.size,
        roomInMs: () => {
            const rate = bytesPerMs();
            const waitingBytes = [...waiters.values()].reduce((sum, { bytes }) => sum + bytes, 0);
            return rate === undefined ? undefined : (reservedBytes() + waitingBytes) / rate;
        },
    };
}
