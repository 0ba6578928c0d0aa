import type { Millis } from "@azureshunt/core";

import { openCall } from "../dispatch/openCall.js";
import type { OpenedCall } from "../dispatch/OpenedCall.js";
import { readAnswer } from "../dispatch/readAnswer.js";
import type { EndpointHead } from "../ports/EndpointHead.js";
import { isRepeatable } from "./isRepeatable.js";
import { passStream } from "./passStream.js";
import { reachableStore } from "./reachableStore.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import { silenceBound } from "./silenceBound.js";
import type { StreamProgress } from "./StreamProgress.js";
import type { StreamSigns } from "./StreamSigns.js";
import type { TryPlace } from "./TryPlace.js";
import type { TryResult } from "./TryResult.js";

/**
 * Longest idle time of a kept connection that carries what may run only once. An endpoint that has gone dark, or a
 * connection that is lost on the way, shows only when it is used, and then the request is lost; opening a new one costs a
 * round trip and proves that the endpoint lives.
 */
const ONCE_KEPT_MS = 250;
const KEPT_MS = 12_000;
/** Least time that is given to an endpoint's first sign of life before it counts as overdue. */
const OVERDUE_AFTER_MS = 350;
/** Silence in mid-stream after which another endpoint goes on: twice the longest usual pause between events. */
const STREAM_SILENCE_MS = 1_000;
const SUCCESS = 200;
const FIRST_FAILURE = 500;
const MISDIRECTED = 421;

type HeadVerdict = "pass" | TryResult["kind"];

/**
 * Failure: an answer to another request arrives late on the connection, or something on the way answers for the endpoint.
 * Guard: an answer counts only if it names this request, and a success only with the endpoint's seal.
 */
const judgeHead = (head: EndpointHead, served: ServedRequest): HeadVerdict => {
    if (head.requestId !== undefined && head.requestId !== served.caller.id) {
        return "garbled";
    }
    if (head.status === MISDIRECTED) {
        return "elsewhere";
    }
    if (head.isNotRun) {
        return "refused";
    }
    const isGenuine = head.requestId === served.caller.id && head.isSealed && !head.isEncoded;
    if (head.status >= FIRST_FAILURE) {
        return isGenuine ? "failed" : "garbled";
    }
    return isGenuine ? "pass" : "garbled";
};

type TryParts = {
    readonly parts: ServeParts;
    readonly served: ServedRequest;
    readonly place: TryPlace;
    readonly progress: StreamProgress;
    readonly isLastTry: boolean;
};

/** What the store has been given by any VM is not given again: each copy takes part of its link. */
const storeToSaveTo = ({ parts, place }: TryParts): string | undefined => {
    const shared = place.chain.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
    return place.chain.length === 0 || place.storedTokens >= shared ? undefined : reachableStore(parts)?.address;
};

const headersFor = (
    { parts, served, place, progress }: TryParts,
    remainingMs: Millis,
    saveTo: string | undefined,
): readonly string[] => {
    const { caller, organisation, route } = served;
    return parts.endpointWire.encodeHeaders({
        caller,
        endpoint: place.entry.name,
        organisation: organisation?.id,
        remainingMs,
        priority: organisation?.priority ?? route.priority,
        weights: place.weights,
        cacheSalt: place.salt,
        fetchFrom: place.source,
        saveTo,
        resumeAfter: progress.lastEventId,
        bodyBytes: served.body.length,
    });
};

const sendHead = ({ parts, served }: TryParts, { res }: Extract<OpenedCall, { readonly kind: "head"; }>): void => {
    if (!served.res.headersSent) {
        const headers = parts.callerWire.passAnswerHeaders(res.rawHeaders);
        served.res.writeHead(res.statusCode ?? SUCCESS, [...headers, ...closing(parts)]);
    }
};

const closing = (parts: ServeParts): readonly string[] => parts.isDraining() ? ["Connection", "close"] : [];

const passAnswer = async (
    tryParts: TryParts,
    opened: Extract<OpenedCall, { readonly kind: "head"; }>,
    seen: StreamSigns,
): Promise<TryResult> => {
    const { served, progress, isLastTry, parts } = tryParts;
    const isStream = served.route.kind === "stream" || served.route.kind === "resumable-stream";
    if (isStream && opened.res.statusCode === SUCCESS) {
        const canGoOn = isRepeatable(served.route.kind) && !isLastTry;
        const kind = await passStream({
            served,
            opened,
            progress,
            silenceMs: canGoOn ? STREAM_SILENCE_MS : undefined,
            sendHead: () => sendHead(tryParts, opened),
            ...seen,
        });
        if (kind === "answered") {
            sendHead(tryParts, opened);
        }
        return { kind, answer: undefined };
    }
    const body = await readAnswer(opened);
    if (body === undefined) {
        return { kind: served.signal.aborted ? "cancelled" : "broken", answer: undefined };
    }
    const headers = parts.callerWire.passAnswerHeaders(opened.res.rawHeaders);
    const status = opened.res.statusCode ?? SUCCESS;
    return { kind: status >= FIRST_FAILURE ? "failed" : "answered", answer: { status, headers, body } };
};

/** Sends a request to one endpoint and, where it is a stream, passes its events on. */
export async function runTry(tryParts: TryParts): Promise<TryResult> {
    const { parts, served, place, progress, isLastTry } = tryParts;
    const { clock, book, chains } = parts;
    const startedAt = clock.now();
    const remainingMs = served.endsAt - startedAt;
    const { kind, objectiveMs } = served.route;
    const saveTo = storeToSaveTo(tryParts);
    const seat = book.begin(place.entry.name, {
        missingTokens: place.missingTokens,
        memoryTokens: place.memoryTokens,
        expectedMs: Math.max(OVERDUE_AFTER_MS, place.startMs + objectiveMs),
    });
    const times = { headMs: undefined as Millis | undefined, firstEventMs: undefined as Millis | undefined };
    const finish = (result: TryResult): TryResult => {
        seat.end(result.kind);
        if (result.kind !== "answered") {
            served.notes.tell();
        }
        served.notes.add("Try ended.", {
            endpoint: place.entry.name,
            outcome: result.kind,
            status: result.answer?.status,
            ms: Math.round(clock.now() - startedAt),
            ...times,
            estimatedMs: Math.round(place.startMs),
            missingTokens: place.missingTokens,
            running: place.running,
            weights: place.weights,
            events: progress.passedEvents,
            isLastTry,
        });
        parts.metrics.count("azureshunt_tries_total", "Tries at endpoints by how they ended.", {
            outcome: result.kind,
        });
        return result;
    };
    const opened = await openCall(parts.agent, {
        address: place.entry.address,
        method: served.caller.method,
        target: served.caller.target,
        headers: headersFor(tryParts, remainingMs, saveTo),
        body: served.body,
        keptIdleMs: isRepeatable(kind) ? KEPT_MS : ONCE_KEPT_MS,
        headMs: silenceBound(kind, objectiveMs, place.startMs, remainingMs, isLastTry),
        // A busy engine has the request in its queue; asking another one would only make both busier.
        isAlive: served.caller.prompt === undefined ? undefined : seat.isAlive,
    }, served.signal);
    if (opened.kind !== "head") {
        return finish({ kind: opened.kind, answer: undefined });
    }
    seat.sign();
    times.headMs = Math.round(clock.now() - startedAt);
    const head = parts.endpointWire.decodeHead(opened.res);
    if (head.weights !== undefined) {
        book.sawWeights(place.entry.name, head.weights);
    }
    const verdict = judgeHead(head, served);
    if (verdict === "garbled") {
        opened.res.destroy();
        return finish({ kind: verdict, answer: undefined });
    }
    if (verdict === "refused" || verdict === "elsewhere") {
        opened.res.resume();
        return finish({ kind: verdict, answer: undefined });
    }
    const noteRead = (): void => {
        times.firstEventMs = Math.round(clock.now() - startedAt);
        seat.answering();
        chains.note(place.entry.name, place.chain, clock.now());
        if (saveTo !== undefined) {
            chains.note(saveTo, place.chain, clock.now());
        }
    };
    return finish(
        await passAnswer(tryParts, opened, { onFirstEvent: noteRead, sign: seat.sign, isAlive: seat.isAlive }),
    );
}
