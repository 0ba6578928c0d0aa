import type { IncomingMessage, ServerResponse } from "node:http";

import type { Millis, Refusal, Tokens } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { isStalled } from "@azureshunt/flow";
import { readBody } from "@azureshunt/http";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { chooseService } from "../configuration/chooseService.js";
import { findRoute } from "../configuration/findRoute.js";
import type { Organisation } from "../configuration/Organisation.js";
import type { CallerRequest } from "../ports/CallerRequest.js";
import { admitRequest } from "./admitRequest.js";
import { closingHeaders } from "./closingHeaders.js";
import { createCallerOutput } from "./createCallerOutput.js";
import { createRequestNotes } from "./createRequestNotes.js";
import { isRepeatable } from "./isRepeatable.js";
import { isServerError } from "./isServerError.js";
import { sendRefusal } from "./sendRefusal.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import { serveTries } from "./serveTries.js";
import { watchCancellation } from "./watchCancellation.js";

/** Limit on bodies until the first configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
/** A colon and a space after each name, a line ending after each value. */
const SEPARATOR_BYTES = 2;
/** Share of requests that are sent although recent answers have taken too long; most of them may run for nobody. */
const PROBE_SHARE = 0.05;
const OK = 200;
/** Longest wait for an organisation's tokens. After a restart of all VMs, some are available within half of it. */
const MAX_ALLOWANCE_WAIT_MS = 250;
/** Fraction of a request's time that it may spend on that wait; the rest is for its answer. */
const ALLOWANCE_WAIT_FRACTION = 0.25;

/** Time after which answers that stay unread are cut off if the memory is used up, so that there may be room. */
const MEMORY_RETRY_AFTER_SECONDS = 0.25;
/** A caller that came back later than this fraction of its time would have too little left for its answer. */
const RETRY_TIME_FRACTION = 1 / 3;
const MS_PER_SECOND = 1_000;

/** Returns after how many seconds the caller of a request that is refused for memory is to come back. */
const memoryRetryAfterSeconds = (timeLeftMs: Millis): number =>
    Math.min(MEMORY_RETRY_AFTER_SECONDS, Math.max(0, timeLeftMs) * RETRY_TIME_FRACTION / MS_PER_SECOND);

/** A request that has been read completely. */
type CompleteRequest = Pick<ServedRequest, "caller" | "body" | "arrivedAt" | "account"> & {
    /** Bounds of the time for which it had waited unread in this VM by then. */
    readonly waited: { readonly least: Millis; readonly most: Millis; };
};

/** An admitted request, with what it takes from its organisation's allowance. */
type AdmittedRequest = Pick<ServedRequest, "route" | "organisation" | "service" | "notes"> & {
    readonly tokens: Tokens;
};

/** Returns what a request takes from its organisation's allowance. */
const tokensOf = ({ prompt }: CallerRequest, organisation: Organisation | undefined): Tokens => {
    if (organisation?.countsRequests === true) {
        return 1;
    }
    return prompt === undefined ? organisation?.defaultTokens ?? 0 : prompt.promptTokens + prompt.outputTokens;
};

/** Returns the size of a request's head on the wire, computed from its first line and headers. */
const headerBytesOf = ({ method = "", url = "", rawHeaders }: IncomingMessage): number =>
    rawHeaders.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, method.length + url.length);

/** Creates the handler of callers' requests. */
export function createRequestHandler(parts: ServeParts): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
    const { clock, declaredState, allowances, callerWire, metrics, logger } = parts;

    const refuse = (res: ServerResponse, refusal: Refusal, id: string | undefined, isClosing: boolean): void => {
        metrics.count("azureshunt_refusals_total", "Requests that were refused, by reason.", { reason: refusal.kind });
        if (refusal.retryAfterSeconds !== undefined) {
            const help = "Seconds after which refused callers are to come back.";
            metrics.record("azureshunt_retry_after_seconds", help, refusal.retryAfterSeconds);
        }
        const { configuration, confirmedAt } = declaredState();
        logger.info({
            id,
            reason: refusal.kind,
            ran: refusal.ran,
            detail: refusal.detail,
            retryAfterSeconds: refusal.retryAfterSeconds,
            revision: configuration?.revision,
            // Age of the declared state that the decision used; omitted if none is confirmed.
            confirmedMs: confirmedAt === -Infinity ? undefined : Math.round(clock.now() - confirmedAt),
        }, "Refused.");
        sendRefusal(callerWire, res, refusal, isClosing || parts.isDraining());
    };

    /** Cuts a request off: its connection is reset, or, if nothing was sent yet, the caller is told. */
    const cutOff = (
        { res, unreadSince, deadline }: ServedRequest["account"],
        id: string | undefined,
        cancel: () => void,
    ): void => {
        if (res.headersSent) {
            res.socket?.resetAndDestroy();
            res.destroy();
        }
        else {
            refuse(
                res,
                refusalOf("memory-exhausted", unreadSince === undefined ? undefined : "its answer was not read", {
                    ran: "maybe",
                    retryAfterSeconds: memoryRetryAfterSeconds(deadline - clock.now()),
                }),
                id,
                true,
            );
        }
        cancel();
    };

    const finish = async (
        served: ServedRequest,
        cancellation: ReturnType<typeof watchCancellation>,
        chargedTokens: number,
    ): Promise<void> => {
        const end = await serveTries(parts, served);
        cancellation.release();
        const { res, caller, organisation, notes } = served;
        const ran = end.kind === "refused" ? end.refusal.ran : end.kind === "cancelled" ? end.ran : "yes";
        if (ran === "no" && organisation !== undefined) {
            allowances.refund(organisation, chargedTokens);
        }
        metrics.record(
            "azureshunt_request_ms",
            "Milliseconds from arrival to the end.",
            clock.now() - served.arrivedAt,
            {
                end: end.kind,
            },
        );
        const isOrdinary = end.kind === "answered" && end.tries === 1 && !isServerError(end.answer?.status ?? OK);
        if (!isOrdinary) {
            notes.flush();
        }
        notes.add("Ended.", { end: end.kind, status: end.kind === "answered" ? end.answer?.status : undefined, ran });
        switch (end.kind) {
            case "answered":
                if (res.destroyed || (end.answer !== undefined && res.headersSent)) {
                    // It was cut off while the last bytes arrived.
                    return;
                }
                if (end.answer !== undefined) {
                    res.writeHead(end.answer.status, [...end.answer.headers, ...closingHeaders(parts)]);
                    // From here on the output counts what is left of it.
                    served.account.add(-end.answer.body.reduce((sum, { length }) => sum + length, 0));
                    served.account.answerSince = undefined;
                }
                served.output.end(end.answer?.body ?? []);
                return;
            case "refused":
                refuse(res, end.refusal, caller.id, false);
                return;
            case "cancelled":
                if (cancellation.isDeadlineExceeded()) {
                    refuse(res, refusalOf("deadline-exceeded", undefined, { ran: end.ran }), caller.id, false);
                }
        }
    };

    /**
     * Reads a body within the byte budget.
     *
     * Bodies that arrive together are all let in while there is room, and a body that stops half-way holds what was read
     * of it. To prevent that they use up the memory, a body is refused when the budget is exhausted, and when it neither
     * ends nor grows within the bound on progress.
     */
    const readHeldBody = (
        req: IncomingMessage,
        limit: number,
        add: (bytes: number) => void,
        withoutMemory: () => Refusal,
    ): Promise<Either<Refusal, Buffer>> =>
        new Promise((resolve, reject) => {
            const { progressMs } = parts.flowBounds();
            const state = { isOver: false, growth: { since: clock.now(), bytes: 0 } };
            const end = (result: Either<Refusal, Buffer>): void => {
                state.isOver = true;
                clearTimeout(timer);
                resolve(result);
            };
            const checkGrowth = (): void => {
                const now = clock.now();
                // A timer may fire a fraction of a millisecond early.
                if (isStalled(state.growth, progressMs, now + 1)) {
                    end(Left(refusalOf("headers-too-slow", "its body makes no progress", { ran: "no" })));
                    return;
                }
                state.growth = { since: now, bytes: 0 };
                timer.refresh();
            };
            const timer = setTimeout(checkGrowth, progressMs);
            const onBytes = (bytes: number): Refusal | undefined => {
                state.growth.bytes += bytes;
                add(bytes);
                return state.isOver || parts.byteBudget.isExhausted() ? withoutMemory() : undefined;
            };
            void readBody(req, limit, onBytes).then(end, reject);
        });

    /** Reads a complete request; resolves with `undefined` if it was refused. */
    const readRequest = async (req: IncomingMessage, res: ServerResponse): Promise<CompleteRequest | undefined> => {
        const arrivedAt = clock.now();
        const decoded = callerWire.decode(req);
        const { limits, routes = [] } = declaredState().configuration ?? {};
        const route = decoded.map(({ host, target }) => findRoute(routes, host, target)).toMaybe().extractNullable();
        const head = parts.overload.enter(req, route ?? undefined);
        if (head.turn !== undefined) {
            await head.turn;
        }
        const { waited } = head;
        if (route !== null && route !== undefined && !parts.overload.admits(route, head)) {
            const detail = `event loop lag ${Math.round(parts.overload.lagMs())} ms, waited unread `
                + `${Math.round(waited.least)} to ${Math.round(waited.most)} ms`;
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
            refuse(res, refusalOf("vm-overloaded", detail, { retryAfterSeconds }), caller?.id, false);
            return undefined;
        }
        if (headerBytesOf(req) > (limits?.headerBytes ?? Infinity)) {
            refuse(res, refusalOf("headers-too-large"), undefined, true);
            return undefined;
        }
        const withoutMemory = (): Refusal => {
            const deadlineMs = decoded.toMaybe().extract()?.deadlineMs ?? Infinity;
            const timeMs = Math.min(route?.timeoutMs ?? Infinity, deadlineMs) - waited.most;
            const retryAfterSeconds = memoryRetryAfterSeconds(arrivedAt + timeMs - clock.now());
            return refusalOf("memory-exhausted", undefined, { retryAfterSeconds });
        };
        if (parts.byteBudget.isExhausted()) {
            refuse(res, withoutMemory(), decoded.toMaybe().extract()?.id, true);
            return undefined;
        }
        const account = parts.byteBudget.open(res);
        const body = await readHeldBody(req, limits?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES, account.add, withoutMemory);
        // If the body is over its limit and the head is malformed too, the body is the reason given.
        return body.chain(bytes => decoded.map(caller => ({ caller, body: bytes, arrivedAt, waited, account }))).caseOf(
            {
                Left: refusal => {
                    refuse(res, refusal, undefined, true);
                    return undefined;
                },
                Right: request => request,
            },
        );
    };

    /** Selects the route, organisation and service of a request; `undefined` if it was refused. */
    const admit = ({ caller, arrivedAt }: CompleteRequest, res: ServerResponse): AdmittedRequest | undefined => {
        const query = { declaredState: declaredState(), request: caller, arrivedAt, bounds: parts.bounds() };
        const admission = admitRequest(query).chain<Refusal, AdmittedRequest>(({ route, organisation }) => {
            const service = chooseService(route, parts.random());
            const tokens = tokensOf(caller, organisation);
            const notes = createRequestNotes(logger, clock, caller.id);
            return service === undefined
                ? Left(refusalOf("no-endpoint"))
                : Right({ route, organisation, service, tokens, notes });
        });
        return admission.map(admitted => {
            const { route, organisation, service, tokens, notes } = admitted;
            parts.retryBudgets.earn(service);
            notes.add("Admitted.", {
                route: route.name,
                kind: route.kind,
                service,
                organisation: organisation?.id,
                tokens,
                deadlineMs: caller.deadlineMs,
                lastEventId: caller.lastEventId,
                begunBy: caller.begunBy,
                revision: query.declaredState.configuration?.revision,
                confirmedMs: Math.round(arrivedAt - query.declaredState.confirmedAt),
            });
            return admitted;
        }).caseOf({
            Left: refusal => {
                refuse(res, refusal, caller.id, false);
                return undefined;
            },
            Right: admitted => admitted,
        });
    };

    /** Takes a request's tokens from its organisation's allowance; resolves with `false` if it was refused. */
    const charge = async (
        { caller, arrivedAt }: CompleteRequest,
        { organisation, tokens, notes }: AdmittedRequest,
        res: ServerResponse,
        { deadline, signal }: Pick<ServedRequest, "deadline" | "signal">,
    ): Promise<boolean> => {
        if (organisation === undefined) {
            return true;
        }
        const waitsUntil = arrivedAt +
            Math.min(MAX_ALLOWANCE_WAIT_MS, (deadline - arrivedAt) * ALLOWANCE_WAIT_FRACTION);
        const charged = await parts.allowanceQueue.charge({ organisation, tokens, waitsUntil, signal });
        charged.ifLeft(refusal => {
            notes.flush();
            refuse(res, refusal, caller.id, false);
        });
        return charged.isRight();
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        parts.checkSuspension();
        const request = await readRequest(req, res);
        const admitted = request === undefined ? undefined : admit(request, res);
        if (request === undefined || admitted === undefined) {
            return;
        }
        const { caller, arrivedAt, waited } = request;
        const { route, organisation, service, notes, tokens } = admitted;
        if (parts.quarantine.isQuarantined({ caller, body: request.body, service })) {
            refuse(res, refusalOf("request-quarantined"), caller.id, false);
            return;
        }
        const timeMs = Math.min(route.timeoutMs, caller.deadlineMs ?? route.timeoutMs);
        const deadline = arrivedAt - waited.least + timeMs;
        const sendBefore = arrivedAt - waited.most + timeMs;
        const cancellation = watchCancellation(res, deadline - clock.now());
        const { account } = request;
        account.isRepeatable = isRepeatable(route.kind);
        account.deadline = deadline;
        account.cut = () => cutOff(account, caller.id, cancellation.cancel);
        const isCharged = await charge(request, admitted, res, { deadline, signal: cancellation.signal });
        if (!isCharged) {
            cancellation.release();
            return;
        }
        parts.demand.record(caller.prompt?.promptTokens ?? 0);
        // Written out, since copying the properties of two objects into a third is slow.
        const served: ServedRequest = {
            caller,
            body: request.body,
            res,
            account,
            output: createCallerOutput(clock, account),
            route,
            service,
            organisation,
            notes,
            arrivedAt,
            deadline,
            sendBefore,
            isProbe: parts.random() < PROBE_SHARE,
            signal: cancellation.signal,
        };
        await finish(served, cancellation, tokens);
    };

    return async (req, res) => {
        res.sendDate = false;
        try {
            await serve(req, res);
        }
        catch (err) {
            logger.error({ err }, "Request failed: internal error.");
            refuse(res, refusalOf("internal"), undefined, true);
        }
    };
}
