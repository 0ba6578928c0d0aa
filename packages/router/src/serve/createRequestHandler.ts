import type { IncomingMessage, ServerResponse } from "node:http";

import type { Refusal, Tokens } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { readBody } from "@azureshunt/http";
import { Left, Right } from "purify-ts";

import { chooseService } from "../configuration/chooseService.js";
import type { Organisation } from "../configuration/Organisation.js";
import type { CallerRequest } from "../ports/CallerRequest.js";
import { admitRequest } from "./admitRequest.js";
import { closingHeaders } from "./closingHeaders.js";
import { createRequestNotes } from "./createRequestNotes.js";
import { isServerError } from "./isServerError.js";
import { sendRefusal } from "./sendRefusal.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import { serveTries } from "./serveTries.js";
import { watchEnding } from "./watchEnding.js";

/** Before the first configuration there is no limit to go by; nothing larger is read. */
const FIRST_BODY_BYTES = 1024 * 1024;
/** A colon and a space after each name, a line's end after each value. */
const SEPARATOR_BYTES = 2;
const OK = 200;
/** Longest wait for an organisation's tokens. After a restart of all VMs there are some within half of it. */
const LONGEST_ALLOWANCE_MS = 250;
/** Part of a request's time that it may spend on that wait; the rest is for its answer. */
const ALLOWANCE_PART = 0.25;

/** A request that has been read whole. */
type Received = Pick<ServedRequest, "caller" | "body" | "arrivedAt">;

/** A request that is to be served, with what it takes of its organisation's allowance. */
type Admitted = Pick<ServedRequest, "route" | "organisation" | "service" | "notes"> & { readonly tokens: Tokens; };

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

    const finish = async (
        served: ServedRequest,
        ending: ReturnType<typeof watchEnding>,
        spent: number,
    ): Promise<void> => {
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
        const isOrdinary = end.kind === "answered" && end.tries === 1 && !isServerError(end.answer?.status ?? OK);
        if (!isOrdinary) {
            notes.tell();
        }
        notes.add("Ended.", { end: end.kind, status: end.kind === "answered" ? end.answer?.status : undefined, ran });
        switch (end.kind) {
            case "answered":
                if (end.answer !== undefined) {
                    res.writeHead(end.answer.status, [...end.answer.headers, ...closingHeaders(parts)]);
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

    /** Reads a request whole; undefined where it was refused. */
    const receive = async (req: IncomingMessage, res: ServerResponse): Promise<Received | undefined> => {
        const arrivedAt = clock.now();
        const decoded = callerWire.decode(req);
        const limits = knowledge().configuration?.limits;
        if (headerBytesOf(req) > (limits?.headerBytes ?? Infinity)) {
            refuse(res, refusalOf("headers-too-large"), undefined, true);
            return undefined;
        }
        const body = await readBody(req, limits?.bodyBytes ?? FIRST_BODY_BYTES);
        // A body over its limit is refused before a head that cannot be read.
        return body.chain(bytes => decoded.map(caller => ({ caller, body: bytes, arrivedAt }))).caseOf({
            Left: refusal => {
                refuse(res, refusal, undefined, true);
                return undefined;
            },
            Right: received => received,
        });
    };

    /** Decides by which route, for whom and out of which allowance a request is served; undefined where it was refused. */
    const admit = ({ caller, arrivedAt }: Received, res: ServerResponse): Admitted | undefined => {
        const question = { knowledge: knowledge(), request: caller, arrivedAt, bounds: parts.bounds() };
        const admission = admitRequest(question).chain<Refusal, Admitted>(({ route, organisation }) => {
            const service = chooseService(route, parts.random());
            const tokens = tokensOf(caller, organisation);
            const notes = createRequestNotes(logger, clock, caller.id);
            return service === undefined
                ? Left(refusalOf("no-endpoint"))
                : Right({ route, organisation, service, tokens, notes });
        });
        return admission.map(admitted => {
            const { route, organisation, service, tokens, notes } = admitted;
            parts.budgets.earn(service);
            notes.add("Admitted.", {
                route: route.name,
                kind: route.kind,
                service,
                organisation: organisation?.id,
                tokens,
                deadlineMs: caller.deadlineMs,
                revision: question.knowledge.configuration?.revision,
                confirmedMs: Math.round(arrivedAt - question.knowledge.confirmedAt),
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

    /** Takes a request's tokens from its organisation's allowance; false where it was refused. */
    const charge = async (
        { caller, arrivedAt }: Received,
        { organisation, tokens, notes }: Admitted,
        res: ServerResponse,
        { endsAt, signal }: Pick<ServedRequest, "endsAt" | "signal">,
    ): Promise<boolean> => {
        if (organisation === undefined) {
            return true;
        }
        const waitsUntil = arrivedAt + Math.min(LONGEST_ALLOWANCE_MS, (endsAt - arrivedAt) * ALLOWANCE_PART);
        const charged = await parts.charges.charge({ organisation, tokens, waitsUntil, signal });
        charged.ifLeft(refusal => {
            notes.tell();
            refuse(res, refusal, caller.id, false);
        });
        return charged.isRight();
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        parts.checkPause();
        const received = await receive(req, res);
        const admitted = received === undefined ? undefined : admit(received, res);
        if (received === undefined || admitted === undefined) {
            return;
        }
        const { caller, arrivedAt } = received;
        const { route, tokens } = admitted;
        const endsAt = arrivedAt + Math.min(route.timeoutMs, caller.deadlineMs ?? route.timeoutMs);
        const ending = watchEnding(res, endsAt - clock.now());
        const isCharged = await charge(received, admitted, res, { endsAt, signal: ending.signal });
        if (!isCharged) {
            ending.release();
            return;
        }
        parts.demand.note(caller.prompt?.promptTokens ?? 0);
        await finish({ ...received, ...admitted, res, endsAt, signal: ending.signal }, ending, tokens);
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
