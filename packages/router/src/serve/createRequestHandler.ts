import type { IncomingMessage, ServerResponse } from "node:http";

import type { Refusal, Tokens } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import { chooseService } from "../configuration/chooseService.js";
import { describeConfirmation } from "../knowledge/describeConfirmation.js";
import { admitRequest } from "./admitRequest.js";
import { chargedTokens } from "./chargedTokens.js";
import { closingHeaders } from "./closingHeaders.js";
import type { CompleteRequest } from "./CompleteRequest.js";
import { countRefusal } from "./countRefusal.js";
import { createCallerOutput } from "./createCallerOutput.js";
import { createRequestNotes } from "./createRequestNotes.js";
import { createRequestReader } from "./createRequestReader.js";
import { isRepeatable } from "./isRepeatable.js";
import { isServerError } from "./isServerError.js";
import { lengthHeaders } from "./lengthHeaders.js";
import { memoryRetryAfterSeconds } from "./memoryRetryAfterSeconds.js";
import { sendRefusal } from "./sendRefusal.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import { serveTries } from "./serveTries.js";
import { watchCancellation } from "./watchCancellation.js";

/** Share of requests that are sent although recent answers have taken too long; most of them may run for nobody. */
const PROBE_SHARE = 0.05;
const OK = 200;
const WAITED = "it waited, and the heap is nearly full";
/** Longest wait for an organisation's tokens. After a restart of all VMs, some are available within half of it. */
const MAX_ALLOWANCE_WAIT_MS = 250;
/** Fraction of a request's time that it may spend on that wait; the rest is for its answer. */
const ALLOWANCE_WAIT_FRACTION = 0.25;

/** An admitted request, with what it takes from its organisation's allowance. */
type AdmittedRequest = Pick<ServedRequest, "route" | "organisation" | "service" | "notes"> & {
    readonly tokens: Tokens;
};

/** Creates the handler of callers' requests. */
export function createRequestHandler(parts: ServeParts): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
    const { clock, declaredState, allowances, callerWire, metrics, logger } = parts;

    const refuse = (res: ServerResponse, refusal: Refusal, id: string | undefined, isClosing: boolean): void => {
        countRefusal(metrics, refusal.kind);
        if (refusal.retryAfterSeconds !== undefined) {
            const help = "Seconds after which refused callers are to come back.";
            metrics.record("azureshunt_retry_after_seconds", help, refusal.retryAfterSeconds);
        }
        logger.info({
            id,
            reason: refusal.kind,
            ran: refusal.ran,
            detail: refusal.detail,
            retryAfterSeconds: refusal.retryAfterSeconds,
            ...describeConfirmation(declaredState(), clock.now()),
        }, "Refused.");
        sendRefusal(callerWire, res, refusal, isClosing || parts.isDraining());
    };

    const readRequest = createRequestReader(parts, refuse);

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
                served.account.releaseBody();
                if (end.answer !== undefined) {
                    res.writeHead(end.answer.status, [
                        ...end.answer.headers,
                        ...lengthHeaders(caller.method, end.answer),
                        ...closingHeaders(parts),
                    ]);
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

    /** Selects the route, organisation and service of a request; `undefined` if it was refused. */
    const admit = async (
        { caller, arrivedAt, waited }: CompleteRequest,
        res: ServerResponse,
    ): Promise<AdmittedRequest | undefined> => {
        const decide = () =>
            admitRequest({ declaredState: declaredState(), request: caller, arrivedAt, bounds: parts.bounds() });
        const decided = parts.factsWait.decide(decide, arrivedAt - waited.most + (caller.deadlineMs ?? Infinity));
        const admission = (decided instanceof Promise ? await decided : decided).chain<Refusal, AdmittedRequest>(
            ({ route, organisation }) => {
                const service = chooseService(route, parts.random());
                const tokens = chargedTokens(caller, organisation);
                const notes = createRequestNotes(logger, clock, caller.id);
                return service === undefined
                    ? Left(refusalOf("no-endpoint"))
                    : Right({ route, organisation, service, tokens, notes });
            },
        );
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
                ...describeConfirmation(declaredState(), arrivedAt),
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
            // It may have been refused for memory as it waited.
            if (!res.headersSent) {
                refuse(res, refusal, caller.id, false);
            }
        });
        return charged.isRight();
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        parts.checkSuspension();
        const request = await readRequest(req, res);
        const admitted = request === undefined ? undefined : await admit(request, res);
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
        const { account, heap } = request;
        account.isRepeatable = isRepeatable(route.kind);
        account.deadline = deadline;
        account.notes = notes.size;
        account.cut = () => cutOff(account, caller.id, cancellation.cancel);
        heap.priority = route.priority;
        heap.refuse = () => {
            heap.refuse = undefined;
            const isRefused = !res.headersSent && parts.runClaims.refuse(res);
            if (isRefused) {
                notes.flush();
                const retryAfterSeconds = memoryRetryAfterSeconds(
                    deadline - clock.now(),
                    parts.heapBudget.nextReturnMs(),
                );
                refuse(res, refusalOf("memory-exhausted", WAITED, { retryAfterSeconds }), caller.id, true);
                cancellation.cancel();
            }
            return isRefused;
        };
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
