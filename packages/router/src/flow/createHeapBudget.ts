import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { Clock, Millis } from "@azureshunt/core";
import { hasRoomForRequest, heapRoom, isOverShare, leastUrgentFirst, requestCost } from "@azureshunt/flow";
import { createReturnPace } from "@azureshunt/http";

import type { createHeapWatch } from "./createHeapWatch.js";
import type { HeapAccount } from "./HeapAccount.js";

type BudgetParts = {
    readonly clock: Pick<Clock, "now">;
    readonly watch: Pick<ReturnType<typeof createHeapWatch>, "limitBytes" | "liveBytes" | "register">;
    /** Collects all that is not live; that of Node's flag `--expose-gc` if omitted. */
    readonly collect?: (() => void) | undefined;
};

/** What the heap holds for callers and peers, and whether there is room for more. */
type HeapBudget = {
    /** Opens the account of a request; it is closed with its response. */
    readonly open: (res: ServerResponse, cost: number, kind: string | undefined) => HeapAccount;
    /** Counts a connection until it closes. */
    readonly openConnection: (socket: Duplex) => void;
    /** Whether a request that takes so many bytes is decoded. */
    readonly hasRoomFor: (cost: number) => boolean;
    /** Whether requests of a kind leave room for others, so that a further one is read. */
    readonly hasShare: (kind: string | undefined) => boolean;
    /** Whether new connections are read, which is as long as there is room for a small request. */
    readonly readsConnections: () => boolean;
    /** Whether connections are kept between requests. */
    readonly hasRoom: () => boolean;
    /** Returns after what time a refused caller is to come back, a later one for each. */
    readonly nextReturnMs: () => Millis;
    readonly tick: () => void;
};

/** A connection, with its parser and listeners. */
const CONNECTION_BYTES = 8 * 1024;
/** Bounds of the time between two requests that end. */
const MIN_END_MS: Millis = 2;
const MAX_END_MS: Millis = 100;
/** Least time from one full collection to one that this VM asks for. */
const RECHECK_MS: Millis = 5_000;

/** What Node's flag `--expose-gc` adds. */
const { gc: collectAll } = globalThis as { readonly gc?: () => void; };

/**
 * Keeps the sum of what the heap holds for requests and connections, and refuses what it has no room for.
 *
 * V8 ends the process at the limit of its heap. Collections tell what is live, whatever it is, but only one full collection
 * later; what is counted here tells of requests at once.
 *
 * Something that was not counted and is gone again would count as live until the next full collection, and V8 makes none while
 * all requests are refused. Symptom: a VM that goes on refusing everything, with a heap of garbage. To prevent this, it
 * asks for a collection itself if there would be no room without any request.
 */
export function createHeapBudget({ clock, watch, collect = collectAll }: BudgetParts): HeapBudget {
    const requests = new Set<HeapAccount>();
    /** What requests hold, by kind. */
    const kinds = new Map<string | undefined, number>();
    const state = {
        requestBytes: 0,
        connections: 0,
        liveBytes: watch.liveBytes(),
        countedThen: 0,
        collectedAt: clock.now(),
    };
    const pace = createReturnPace({ now: clock.now, minGapMs: MIN_END_MS, maxGapMs: MAX_END_MS });
    const counted = (): number => state.requestBytes + state.connections * CONNECTION_BYTES;
    const room = (level: Parameters<typeof heapRoom>[1], ofCounted = counted): number => {
        const liveBytes = watch.liveBytes();
        if (liveBytes !== state.liveBytes) {
            state.liveBytes = liveBytes;
            state.countedThen = counted();
            state.collectedAt = clock.now();
        }
        const { countedThen } = state;
        return heapRoom({ limitBytes: watch.limitBytes, liveBytes, countedThen, counted: ofCounted() }, level);
    };
    const count = (kind: string | undefined, bytes: number): void => {
        state.requestBytes += bytes;
        const ofKind = (kinds.get(kind) ?? 0) + bytes;
        if (ofKind > 0) {
            kinds.set(kind, ofKind);
        }
        else {
            kinds.delete(kind);
        }
    };
    watch.register("counted-requests", () => ({ count: requests.size, bytes: state.requestBytes }));

    const open: HeapBudget["open"] = (res, cost, kind) => {
        const account: HeapAccount = {
            cost,
            kind,
            priority: 0,
            arrivedAt: clock.now(),
            refuse: undefined,
        };
        if (res.req.socket.destroyed) {
            return account;
        }
        requests.add(account);
        count(kind, cost);
        res.once("close", () => {
            requests.delete(account);
            count(kind, -cost);
            pace.recordPlace();
        });
        return account;
    };
    const hasRoomFor = (cost: number): boolean => hasRoomForRequest(cost, room("requests"));
    return {
        open,
        openConnection: socket => {
            state.connections += 1;
            socket.once("close", () => {
                state.connections -= 1;
            });
        },
        hasRoomFor,
        hasShare: kind =>
            room("shared") > 0 || !isOverShare(kinds.get(kind) ?? 0, state.requestBytes, watch.limitBytes),
        readsConnections: () => hasRoomFor(requestCost(0, 0)),
        hasRoom: () => room("connections") > 0,
        nextReturnMs: pace.nextReturnMs,
        tick: () => {
            if (room("shared", () => 0) <= 0 && clock.now() - state.collectedAt >= RECHECK_MS) {
                state.collectedAt = clock.now();
                collect?.();
            }
            if (room("waiting") < 0) {
                const waiting = [...requests].filter(({ refuse }) => refuse !== undefined);
                const aim = { bytes: -room("requests") };
                leastUrgentFirst(waiting).forEach(({ refuse, cost }) => {
                    aim.bytes -= aim.bytes > 0 && refuse?.() === true ? cost : 0;
                });
            }
        },
    };
}
