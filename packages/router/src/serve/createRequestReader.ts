import type { IncomingMessage, ServerResponse } from "node:http";

import type { Millis, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { bodyLevels, headCost, isStalled, requestCost } from "@azureshunt/flow";
import { readBody } from "@azureshunt/http";
import { startTimeout } from "@azureshunt/lifecycle";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import { findRoute } from "../configuration/findRoute.js";
import type { BodyTurn } from "../flow/BodyTurn.js";
import type { HeldAccount } from "../flow/HeldAccount.js";
import type { CompleteRequest } from "./CompleteRequest.js";
import { countMemoryRefusal } from "./countMemoryRefusal.js";
import { countSharedRefusal } from "./countSharedRefusal.js";
import { isRepeatable } from "./isRepeatable.js";
import { maxHeaderFields } from "./maxHeaderFields.js";
import { memoryRetryAfterSeconds } from "./memoryRetryAfterSeconds.js";
import type { ServeParts } from "./ServeParts.js";

type Refuse = (res: ServerResponse, refusal: Refusal, id: string | undefined, isClosing: boolean) => void;
type RequestReader = (req: IncomingMessage, res: ServerResponse) => Promise<CompleteRequest | undefined>;

/** Limit on bodies until the first configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
/** A colon and a space after each name, a line ending after each value. */
const SEPARATOR_BYTES = 2;

/** Which bound refused a request for memory; without a detail it is the budget of all bytes that are held. */
const BOUND_DETAILS: Readonly<Record<string, string>> = {
    crowded: "too many large bodies wait to be read",
    heap: "the heap has no room for a further request",
    "heap-share": "requests of its route take their share of the heap",
    late: "its body cannot be read in time, as others are read before it",
};

/** Returns the size of a request's head on the wire, computed from its first line and headers. */
const headerBytesOf = ({ method = "", url = "", rawHeaders }: IncomingMessage): number =>
    rawHeaders.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, method.length + url.length);

/** Frees a request's head once it is decoded; only the length of the body is read after it. */
const freeHead = (req: IncomingMessage): void => {
    const { "content-length": length } = req.headers;
    req.rawHeaders = [];
    req.headers = length === undefined ? {} : { "content-length": length };
};

/**
 * Creates the reader of callers' requests. It refuses what this VM has no CPU time or memory for, before the body is read
 * where it can; the reader then resolves with `undefined`.
 */
export function createRequestReader(parts: ServeParts, refuse: Refuse): RequestReader {
    const { clock, declaredState, callerWire, metrics } = parts;

    /**
     * Reads a body within the byte budget.
     *
     * A body that stops half-way holds what was read of it. To prevent that such bodies use up the memory, a body is
     * refused when the budget is exhausted, and when it neither ends nor grows within the bound on progress. A large one
     * waits unread for its turn, one whose length is not stated once it has become large.
     */
    const readHeldBody = (
        req: IncomingMessage,
        limit: number,
        account: HeldAccount,
        waitForTurn: (bytes: number) => Refusal | undefined | Promise<Refusal | undefined>,
        withoutMemory: () => Refusal,
    ): Promise<Either<Refusal, Buffer>> =>
        new Promise((resolve, reject) => {
            const { progressMs } = parts.flowBounds();
            const state = {
                isOver: false,
                isWaiting: false,
                hasTurn: req.headers["content-length"] !== undefined,
                growth: { since: clock.now(), bytes: 0 },
                cancel: (): void => undefined,
            };
            const end = (result: Either<Refusal, Buffer>): void => {
                state.isOver = true;
                state.cancel();
                resolve(result);
            };
            const checkGrowth = (): void => {
                const now = clock.now();
                // A timer may fire a fraction of a millisecond early.
                if (!state.isWaiting && isStalled(state.growth, progressMs, now + 1)) {
                    end(Left(refusalOf("headers-too-slow", "its body makes no progress", { ran: "no" })));
                    return;
                }
                state.growth = { since: now, bytes: 0 };
                state.cancel = startTimeout(progressMs, checkGrowth);
            };
            state.cancel = startTimeout(progressMs, checkGrowth);
            const wait = async (turn: Promise<Refusal | undefined>): Promise<Refusal | undefined> => {
                state.isWaiting = true;
                const refusal = await turn;
                state.isWaiting = false;
                state.growth = { since: clock.now(), bytes: 0 };
                return refusal;
            };
            const onBytes = (bytes: number): Refusal | undefined | Promise<Refusal | undefined> => {
                state.growth.bytes += bytes;
                account.addBody(bytes);
                if (account.bodyBytes > bodyLevels.unreservedBytes) {
                    parts.byteBudget.recordRead(bytes);
                }
                if (state.isOver || parts.byteBudget.isExhausted()) {
                    return withoutMemory();
                }
                if (state.hasTurn || account.bodyBytes <= bodyLevels.unreservedBytes) {
                    return undefined;
                }
                state.hasTurn = true;
                const turn = waitForTurn(Math.min(limit, bodyLevels.unstatedBytes));
                return turn instanceof Promise ? wait(turn) : turn;
            };
            void readBody(req, limit, onBytes).then(end, reject);
        });

    const memoryRefusal = (bound: string, timeLeftMs: Millis, roomInMs?: Millis): Refusal => {
        countMemoryRefusal(metrics, bound);
        const retryAfterSeconds = memoryRetryAfterSeconds(timeLeftMs, roomInMs);
        return refusalOf("memory-exhausted", BOUND_DETAILS[bound], { retryAfterSeconds });
    };

    return async (req, res) => {
        const arrivedAt = clock.now();
        const headerBytes = headerBytesOf(req);
        const fields = req.rawHeaders.length / 2;
        const headBytes = headCost(headerBytes, fields);
        /**
         * Heads that arrive together are all decoded before the first of them is judged. To prevent that they use up the
         * memory, those beyond its part are refused undecoded.
         */
        if (!parts.heapBudget.hasRoomFor(requestCost(headBytes, 0))) {
            freeHead(req);
            refuse(res, memoryRefusal("heap", Infinity, parts.heapBudget.nextReturnMs()), undefined, true);
            return undefined;
        }
        const account = parts.byteBudget.open(res, headBytes);
        const decoded = callerWire.decode(req);
        freeHead(req);
        const { limits, routes = [], ownerOfKey } = declaredState().configuration ?? {};
        const route = decoded.map(({ host, target }) => findRoute(routes, host, target)).toMaybe().extractNullable();
        const key = decoded.toMaybe().extract()?.key;
        const organisation = key === undefined ? undefined : ownerOfKey?.get(key);
        if (!parts.heapBudget.hasShare(route?.name)) {
            const caller = decoded.toMaybe().extract();
            const timeMs = Math.min(route?.timeoutMs ?? Infinity, caller?.deadlineMs ?? Infinity);
            refuse(res, memoryRefusal("heap-share", timeMs, parts.heapBudget.nextReturnMs()), caller?.id, true);
            return undefined;
        }
        const promptParts = decoded.toMaybe().extract()?.prompt?.parts.length ?? 0;
        const heap = parts.heapBudget.open(res, requestCost(headBytes, promptParts), route?.name);
        const head = parts.overload.enter(req, route ?? undefined, organisation);
        if (head.turn !== undefined) {
            await head.turn;
        }
        const { waited } = head;
        if (route !== null && route !== undefined && !parts.overload.admits(route, head)) {
            const { ofOrganisation, ofKind } = parts.overload.refusedFractions(route, organisation);
            const share = ofOrganisation === ofKind
                ? ""
                : `, refused fraction ${ofOrganisation.toFixed(2)} of ${
                    organisation ?? "callers without a valid key"
                }, `
                    + `${ofKind.toFixed(2)} of all`;
            const detail = `event loop lag ${Math.round(parts.overload.lagMs())} ms, waited unread `
                + `${Math.round(waited.least)} to ${Math.round(waited.most)} ms${share}`;
            const caller = decoded.toMaybe().extractNullable();
            const sendBefore = arrivedAt - waited.most +
                Math.min(route.timeoutMs, caller?.deadlineMs ?? route.timeoutMs);
            const retryAfterSeconds = parts.overload.retryAfterSeconds({
                service: route.targets[0]?.service,
                route,
                timeLeftMs: sendBefore - clock.now(),
                roomInMs: parts.overload.shedEndsInMs(),
            });
            const labels = { reason: "vm-overloaded", priority: String(route.priority) };
            metrics.count("azureshunt_overload_refusals_total", "Requests refused for overload.", labels);
            countSharedRefusal(metrics, "vm-overloaded", ofOrganisation > ofKind);
            refuse(res, refusalOf("vm-overloaded", detail, { retryAfterSeconds }), caller?.id, false);
            return undefined;
        }
        // Node has discarded the fields beyond the limit.
        if (fields >= maxHeaderFields || headerBytes > (limits?.headerBytes ?? Infinity)) {
            refuse(res, refusalOf("headers-too-large"), undefined, true);
            return undefined;
        }
        const decodedCaller = decoded.toMaybe().extract();
        const timeMs = Math.min(route?.timeoutMs ?? Infinity, decodedCaller?.deadlineMs ?? Infinity) - waited.most;
        const withoutMemory = (bound = "budget", roomInMs?: Millis): Refusal =>
            memoryRefusal(bound, arrivedAt + timeMs - clock.now(), roomInMs);
        if (parts.byteBudget.isExhausted(route === null || route === undefined || isRepeatable(route.kind))) {
            refuse(res, withoutMemory(), decodedCaller?.id, true);
            return undefined;
        }
        const refusalOfTurn = (turn: BodyTurn): Refusal | undefined => {
            switch (turn) {
                case "read":
                    return undefined;
                case "gone":
                    return refusalOf("caller-gone", undefined, { ran: "no" });
                case "crowded":
                case "late":
                    return withoutMemory(turn, parts.byteBudget.bodyRoomInMs());
            }
        };
        const waitForTurn = (bytes: number): Refusal | undefined | Promise<Refusal | undefined> => {
            parts.byteBudget.recordRead(bodyLevels.waitingBytes);
            const turn = parts.byteBudget.enterBody(account, { bytes, organisation, deadline: arrivedAt + timeMs });
            return turn instanceof Promise ? turn.then(refusalOfTurn) : refusalOfTurn(turn);
        };
        const limit = limits?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
        const length = Number(req.headers["content-length"] ?? 0);
        const refuseBody = (refusal: Refusal): void => {
            refuse(res, refusal, decodedCaller?.id, true);
            // What is discarded takes as much memory as what is kept, until it is collected.
            if (!req.complete && Math.max(length, account.bodyBytes) > bodyLevels.unreservedBytes) {
                req.on("data", (part: Buffer) => parts.byteBudget.recordRead(part.length));
            }
        };
        const waiting = length > bodyLevels.unreservedBytes && length <= limit ? waitForTurn(length) : undefined;
        const refusal = waiting instanceof Promise ? await waiting : waiting;
        if (refusal !== undefined) {
            refuseBody(refusal);
            return undefined;
        }
        const body = await readHeldBody(req, limit, account, waitForTurn, withoutMemory);
        body.ifRight(() => parts.byteBudget.completeBody(account));
        // If the body is over its limit and the head is malformed too, the body is the reason given.
        return body.chain(bytes => decoded.map(caller => ({ caller, body: bytes, arrivedAt, waited, account, heap })))
            .caseOf(
                {
                    Left: left => {
                        refuseBody(left);
                        return undefined;
                    },
                    Right: request => request,
                },
            );
    };
}
