import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

import type { Clock, Millis } from "@azureshunt/core";
import { chooseCuts, flowLevels, isExhausted, isOnceExhausted, readAheadOf } from "@azureshunt/flow";
import type { WaitingBody } from "@azureshunt/flow";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { BodyTurn } from "./BodyTurn.js";
import { createBodyQueue } from "./createBodyQueue.js";
import { createCollector } from "./createCollector.js";
import type { HeldAccount } from "./HeldAccount.js";

type BudgetParts = {
    readonly clock: Clock;
    /** In bytes; `Infinity` if the sum has no bound. */
    readonly budget: () => number;
    /** Bytes of all buffers, also of those that are not collected yet. */
    readonly bufferBytes?: () => number;
    /** Collects young objects; that of Node's flag `--expose-gc` if omitted. */
    readonly collect?: () => void;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** The bytes that this VM buffers for requests. */
type ByteBudget = {
    /** Opens the account of a request, whose head takes so many bytes beside the budget; it is closed with its response. */
    readonly open: (res: ServerResponse, headBytes?: number) => HeldAccount;
    /** Whether a new request is refused. Those that may not be repeated have a part of the budget. */
    readonly isExhausted: (isRepeatable?: boolean) => boolean;
    /** Records what has been read of a large body, also of one that is discarded. */
    readonly recordRead: (bytes: number) => void;
    /** Waits for the turn of a large body. */
    readonly enterBody: (account: HeldAccount, body: WaitingBody) => BodyTurn | Promise<BodyTurn>;
    /** Records that a body is whole. */
    readonly completeBody: (account: HeldAccount) => void;
    readonly waitingBodies: () => number;
    /** Time after which the large bodies that wait now have been served; `undefined` if it is not known. */
    readonly bodyRoomInMs: () => Millis | undefined;
    /** Adds bytes that are held for no single request, such as those of tunnels. */
    readonly addSource: (read: () => number) => void;
    readonly tick: () => void;
    readonly heldBytes: () => number;
    /** The accounts that are open. */
    readonly openAccounts: () => ReadonlySet<HeldAccount>;
    /** Whether new connections are read; above the level, unread answers are cut off to make room. */
    readonly hasRoom: () => boolean;
    readonly oldestUnreadMs: () => Millis;
};

/** Searches below the budget are at least this far apart; each one reads all accounts. */
const SEARCH_MS = 50;
/** The same beyond the budget, after a search that cut nothing. */
const SEARCH_WITHOUT_CUT_MS = 10;
/** An answer that does not end in this time lets another one go on: its endpoint may have stopped. */
const READ_TO_END_MS = 500;
/** Part of the budget that tunnels may take from requests. Beyond it, cutting requests off would not free enough. */
const OTHER_FRACTION = 0.5;

/** What Node's flag `--expose-gc` adds. */
const exposed = globalThis as { readonly gc?: (options: { readonly type: "minor"; }) => void; };
const collectYoung = exposed.gc === undefined ? undefined : (): void => exposed.gc?.({ type: "minor" });

/** Keeps the sum of what this VM buffers for requests, and cuts requests off when it exceeds the budget. */
export function createByteBudget({
    clock,
    budget,
    bufferBytes = () => process.memoryUsage().arrayBuffers,
    collect = collectYoung,
    logger,
    metrics,
}: BudgetParts): ByteBudget {
    const accounts = new Set<HeldAccount>();
    const waiting = new Set<HeldAccount>();
    /** Responses whose accounts are open, by connection. */
    const responses = new WeakMap<Socket, Set<ServerResponse>>();
    const sources: (() => number)[] = [];
    const state = {
        requestBytes: 0,
        otherBytes: 0,
        searchedAt: -Infinity,
        hasCut: false,
        isSearching: false,
        /** The account that may use the rest of the budget. */
        readToEnd: undefined as HeldAccount | undefined,
        readToEndAt: -Infinity,
    };
    // What is held for no single request is no request's fault, but leaves less to all of them.
    const requestBudget = (): number => budget() - Math.min(state.otherBytes, OTHER_FRACTION * budget());
    const bodies = createBodyQueue({
        clock,
        budget: requestBudget,
        heldBytes: () => state.requestBytes,
        bufferBytes,
    });
    const recordRead = createCollector({ bufferBytes, limit: budget, collect });
    const heldBytes = (): number => state.requestBytes + state.otherBytes;

    const cut = (account: HeldAccount, reason: "memory" | "unread-at-deadline"): void => {
        metrics.count("azureshunt_flow_cuts_total", "Requests cut off because of unread bytes.", { reason });
        const { bytes, unreadSince } = account;
        logger.info({
            reason,
            bytes,
            unreadMs: unreadSince === undefined ? undefined : Math.round(clock.now() - unreadSince),
            heldBytes: heldBytes(),
        }, "Request cut off.");
        account.cut(reason);
        close(account);
    };
    const search = (): void => {
        const now = clock.now();
        const intervalMs = state.requestBytes <= requestBudget() ? SEARCH_MS : state.hasCut ? 0 : SEARCH_WITHOUT_CUT_MS;
        if (state.isSearching || now - state.searchedAt < intervalMs) {
            return;
        }
        state.isSearching = true;
        state.searchedAt = now;
        accounts.forEach(account => account.measure());
        const cuts = chooseCuts([...accounts], { budget: requestBudget(), now });
        cuts.forEach(account => cut(account, "memory"));
        state.hasCut = cuts.length > 0;
        state.isSearching = false;
    };
    const wake = (): void => {
        if (waiting.size > 0 && state.requestBytes < flowLevels.low * requestBudget()) {
            const woken = [...waiting];
            waiting.clear();
            woken.forEach(account => account.onBudgetRoom?.());
        }
    };
    /**
     * If all answers that are read whole stop at the same level, none of them ends. To prevent this, the one that has
     * waited for longest goes on until it is whole.
     */
    const letOldestReadToEnd = (): void => {
        const { readToEnd } = state;
        const isOver = readToEnd === undefined || !accounts.has(readToEnd) || readToEnd.onBudgetRoom === undefined;
        if (isOver || clock.now() - state.readToEndAt > READ_TO_END_MS) {
            const [oldest] = waiting;
            state.readToEnd = oldest;
            state.readToEndAt = clock.now();
            if (oldest !== undefined) {
                waiting.delete(oldest);
                oldest.onBudgetRoom?.();
            }
        }
    };
    const close = (account: HeldAccount): void => {
        if (accounts.delete(account)) {
            waiting.delete(account);
            state.requestBytes -= account.bytes;
            bodies.release(account);
            wake();
        }
    };

    /**
     * Node emits `close` for the response that it is sending, not for those queued behind it. To prevent that their
     * accounts stay open and their requests go on, they are closed with their connection.
     */
    const responsesOf = (socket: Socket): Set<ServerResponse> => {
        const known = responses.get(socket);
        if (known !== undefined) {
            return known;
        }
        const added = new Set<ServerResponse>();
        responses.set(socket, added);
        socket.once("close", () => {
            [...added].filter(res => res.socket === null).forEach(res => {
                res.destroy();
                res.emit("close");
            });
        });
        return added;
    };

    const open: ByteBudget["open"] = (res, headBytes = 0) => {
        const counted = { total: 0, inNode: 0, body: 0 };
        const account: HeldAccount = {
            headBytes,
            get bytes() {
                return counted.total;
            },
            answerSince: undefined,
            sentSince: undefined,
            get unreadSince() {
                return account.sentSince;
            },
            isRepeatable: true,
            deadline: Infinity,
            source: undefined,
            onBudgetRoom: undefined,
            cut: () => res.destroy(),
            add: bytes => {
                if (bytes === 0 || !accounts.has(account)) {
                    return;
                }
                counted.total += bytes;
                state.requestBytes += bytes;
                if (bytes > 0 && state.requestBytes > flowLevels.high * requestBudget()) {
                    search();
                }
                else if (bytes < 0) {
                    wake();
                }
            },
            get bodyBytes() {
                return counted.body;
            },
            addBody: bytes => {
                counted.body += bytes;
                bodies.record(account, bytes);
                account.add(bytes);
            },
            releaseBody: () => {
                const { body } = counted;
                counted.body = 0;
                account.add(-body);
                bodies.release(account);
            },
            measure: () => {
                const inNode = res.writableLength + (account.source?.readableLength ?? 0);
                const change = inNode - counted.inNode;
                counted.inNode = inNode;
                if (res.writableLength === 0) {
                    account.sentSince = undefined;
                }
                account.add(change);
            },
            readAhead: (isReadWhole = !account.isRepeatable) => {
                if (account === state.readToEnd && state.requestBytes < flowLevels.readToEnd * requestBudget()) {
                    return Infinity;
                }
                return readAheadOf({
                    heldBytes: state.requestBytes,
                    budget: requestBudget(),
                    holders: accounts.size,
                    isReadWhole,
                });
            },
            waitForRoom: () => void waiting.add(account),
            res,
        };
        const { socket } = res.req;
        if (socket.destroyed) {
            return account;
        }
        accounts.add(account);
        const ofSocket = responsesOf(socket).add(res);
        res.once("close", () => {
            ofSocket.delete(res);
            close(account);
        });
        return account;
    };
    /** Below the level, the requests that may not be repeated cannot hold as much; summing them up costs time. */
    const isOnceFull = (): boolean =>
        state.requestBytes > flowLevels.low * requestBudget() && isOnceExhausted(
            [...accounts].filter(({ isRepeatable }) => !isRepeatable).map(({ bytes }) => bytes),
            requestBudget(),
        );
    const tick = (): void => {
        const now = clock.now();
        state.otherBytes = sources.reduce((sum, read) => sum + read(), 0);
        accounts.forEach(account => {
            account.measure();
            const { unreadSince, deadline } = account;
            if (now > deadline && unreadSince !== undefined && now - unreadSince >= flowLevels.unreadMs) {
                cut(account, "unread-at-deadline");
            }
        });
        if (state.requestBytes > flowLevels.high * requestBudget()) {
            search();
        }
        wake();
        letOldestReadToEnd();
        bodies.tick();
    };
    return {
        open,
        isExhausted: (isRepeatable = true) =>
            isExhausted(state.requestBytes, requestBudget()) || (!isRepeatable && isOnceFull()),
        recordRead,
        enterBody: bodies.enter,
        completeBody: bodies.complete,
        waitingBodies: bodies.waiting,
        bodyRoomInMs: bodies.roomInMs,
        addSource: read => void sources.push(read),
        tick,
        heldBytes,
        openAccounts: () => accounts,
        hasRoom: () => heldBytes() < flowLevels.high * budget(),
        oldestUnreadMs: () => {
            const now = clock.now();
            return [...accounts].reduce((oldest, { unreadSince = now }) => Math.max(oldest, now - unreadSince), 0);
        },
    };
}
