import type { IncomingMessage, ServerResponse } from "node:http";

import type { Millis, Refusal, Tokens } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { readBody } from "@azureshunt/http";

import { chooseService } from "../configuration/chooseService.js";
import type { Organisation } from "../configuration/Organisation.js";
import type { CallerRequest } from "../ports/CallerRequest.js";
import { admitRequest } from "./admitRequest.js";
import { createRequestNotes } from "./createRequestNotes.js";
import { sendRefusal } from "./sendRefusal.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import { serveTries } from "./serveTries.js";

/** Before the first configuration there is no limit to go by; nothing larger is read. */
const FIRST_BODY_BYTES = 1024 * 1024;
/** A colon and a space after each name, a line's end after each value. */
const SEPARATOR_BYTES = 2;
const OK = 200;
const FIRST_FAILURE = 500;

/** A caller's connection that was closed before the answer was whole, or time that ran out. */
type Ending = { readonly signal: AbortSignal; readonly isTimeUp: () => boolean; readonly release: () => void; };

/** What a request takes of its organisation's allowance. */
const tokensOf = ({ prompt }: CallerRequest, organisation: Organisation | undefined): Tokens => {
    if (organisation?.countsRequests === true) {
        return 1;
    }
    return prompt === undefined ? organisation?.plainTokens ?? 0 : prompt.promptTokens + prompt.outputTokens;
};

/** What the request's head takes on the wire, as far as its first line and headers show. */
const headerBytesOf = ({ method = "", url = "", rawHeaders }: IncomingMessage): number =>
    rawHeaders.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, method.length + url.length);

const watchEnding = (res: ServerResponse, endsInMs: Millis): Ending => {
    const controller = new AbortController();
    const state = { isTimeUp: false };
    const timer = setTimeout(() => {
        state.isTimeUp = true;
        controller.abort();
    }, endsInMs);
    const onClose = (): void => {
        if (!res.writableFinished) {
            controller.abort();
        }
    };
    res.once("close", onClose);
    const release = (): void => {
        clearTimeout(timer);
        res.removeListener("close", onClose);
    };
    return { signal: controller.signal, isTimeUp: () => state.isTimeUp, release };
};

/** Makes the function that serves each request of callers. */
export function createRequestHandler(parts: ServeParts): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
    const { clock, knowledge, allowances, callerWire, metrics, logger } = parts;

    const refuse = (res: ServerResponse, refusal: Refusal, id: string | undefined, isClosing: boolean): void => {
        metrics.count("azureshunt_refusals_total", "Requests that were refused, by reason.", { reason: refusal.kind });
        const { configuration, confirmedAt } = knowledge();
        logger.info({
            id,
            reason: refusal.kind,
            ran: refusal.ran,
            detail: refusal.detail,
            retryAfterSeconds: refusal.retryAfterSeconds,
            revision: configuration?.revision,
            // How old the knowledge was by which it was decided; left out where nothing is confirmed.
            confirmedMs: confirmedAt === -Infinity ? undefined : Math.round(clock.now() - confirmedAt),
        }, "Refused.");
        sendRefusal(callerWire, res, refusal, isClosing || parts.isDraining());
    };

    const finish = async (served: ServedRequest, ending: Ending, spent: number): Promise<void> => {
        const end = await serveTries(parts, served);
        ending.release();
        const { res, caller, organisation, notes } = served;
        const ran = end.kind === "refused" ? end.refusal.ran : end.kind === "cancelled" ? end.ran : "yes";
        if (ran === "no" && organisation !== undefined) {
            allowances.refund(organisation, spent);
        }
        metrics.record(
            "azureshunt_request_ms",
            "Milliseconds from arrival to the end.",
            clock.now() - served.arrivedAt,
            {
                end: end.kind,
            },
        );
        const isOrdinary = end.kind === "answered" && end.tries === 1 && (end.answer?.status ?? OK) < FIRST_FAILURE;
        if (!isOrdinary) {
            notes.tell();
        }
        notes.add("Ended.", { end: end.kind, status: end.kind === "answered" ? end.answer?.status : undefined, ran });
        switch (end.kind) {
            case "answered":
                if (end.answer !== undefined) {
                    const closing = parts.isDraining() ? ["Connection", "close"] : [];
                    res.writeHead(end.answer.status, [...end.answer.headers, ...closing]);
                }
                res.end(end.answer?.body);
                return;
            case "refused":
                refuse(res, end.refusal, caller.id, false);
                return;
            case "cancelled":
                if (ending.isTimeUp()) {
                    refuse(res, refusalOf("deadline-exceeded", undefined, { ran: end.ran }), caller.id, false);
                }
        }
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const arrivedAt = clock.now();
        parts.checkPause();
        const decoded = callerWire.decode(req);
        const limits = knowledge().configuration?.limits;
        if (headerBytesOf(req) > (limits?.headerBytes ?? Infinity)) {
            refuse(res, refusalOf("headers-too-large"), undefined, true);
            return;
        }
        const body = await readBody(req, limits?.bodyBytes ?? FIRST_BODY_BYTES);
        if (decoded.isLeft() || body.isLeft()) {
            const refusal = body.isLeft() ? body.extract() as Refusal : decoded.extract() as Refusal;
            refuse(res, refusal, undefined, true);
            return;
        }
        const caller = decoded.unsafeCoerce();
        const admitted = admitRequest({ knowledge: knowledge(), request: caller, arrivedAt, bounds: parts.bounds() });
        if (admitted.isLeft()) {
            refuse(res, admitted.extract() as Refusal, caller.id, false);
            return;
        }
        const { route, organisation } = admitted.unsafeCoerce();
        const notes = createRequestNotes(logger, clock, caller.id);
        const service = chooseService(route, parts.random());
        if (service === undefined) {
            refuse(res, refusalOf("no-endpoint"), caller.id, false);
            return;
        }
        parts.budgets.earn(service);
        const tokens = tokensOf(caller, organisation);
        const charged = organisation === undefined ? undefined : allowances.spend(organisation, tokens);
        notes.add("Admitted.", {
            route: route.name,
            kind: route.kind,
            service,
            organisation: organisation?.id,
            tokens,
            deadlineMs: caller.deadlineMs,
            revision: knowledge().configuration?.revision,
            confirmedMs: Math.round(arrivedAt - knowledge().confirmedAt),
        });
        if (charged?.isLeft() === true) {
            notes.tell();
            refuse(res, charged.extract() as Refusal, caller.id, false);
            return;
        }
        parts.demand.note(caller.prompt?.promptTokens ?? 0);
        const endsAt = arrivedAt + Math.min(route.timeoutMs, caller.deadlineMs ?? route.timeoutMs);
        const ending = watchEnding(res, endsAt - clock.now());
        const served = {
            caller,
            body: body.unsafeCoerce(),
            res,
            route,
            service,
            organisation,
            notes,
            arrivedAt,
            endsAt,
        };
        await finish({ ...served, signal: ending.signal }, ending, tokens);
    };

    return async (req, res) => {
        res.sendDate = false;
        try {
            await serve(req, res);
        }
        catch (err) {
            logger.error({ err }, "A request ended by an error of this program.");
            refuse(res, refusalOf("internal"), undefined, true);
        }
    };
}
