import type { Millis } from "@azureshunt/core";

import { openCall } from "../dispatch/openCall.js";
import { isRepeatable } from "./isRepeatable.js";
import { judgeHead } from "./judgeHead.js";
import { passAnswer } from "./passAnswer.js";
import { priorityOf } from "./priorityOf.js";
import { reachableStore } from "./reachableStore.js";
import { shouldMove } from "./shouldMove.js";
import { silenceBound } from "./silenceBound.js";
import type { TryParts } from "./TryParts.js";
import type { TryResult } from "./TryResult.js";
import { watchOrders } from "./watchOrders.js";

/**
 * Longest idle time of a kept connection that carries what may run only once. An endpoint that has gone dark, or a
 * connection that is lost on the way, shows only when it is used, and then the request is lost; opening a new one costs a
 * round trip and proves that the endpoint lives.
 */
const ONCE_KEPT_MS = 250;
const KEPT_MS = 12_000;
/** Least time that is given to an endpoint's first sign of life before it counts as overdue. */
const OVERDUE_AFTER_MS = 350;

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
        priority: priorityOf(organisation, route),
        weights: place.weights,
        cacheSalt: place.salt,
        fetchFrom: place.source,
        saveTo,
        resumeAfter: progress.lastEventId,
        bodyBytes: served.body.length,
    });
};

const later = (delayMs: Millis, run: () => void): () => void => {
    const timer = setTimeout(run, delayMs);
    return () => clearTimeout(timer);
};

/** Takes a further try for a stream that is to leave its engine; false where it stays. */
const takeMove = ({ parts, served, place, progress }: TryParts): boolean => {
    const { prompt } = served.caller;
    const others = prompt === undefined
        ? []
        : parts.book.engines(prompt.model).filter(({ endpoint, isUp, order }) =>
            endpoint !== place.entry.name && isUp && order === undefined
        );
    const isMoving = shouldMove({
        promptTokens: prompt?.promptTokens ?? 0,
        outputTokens: prompt?.outputTokens ?? 0,
        passedEvents: progress.passedEvents,
        budget: parts.budgets.of(served.service).balance,
        others: others.length,
    });
    return isMoving && parts.budgets.reserve(served.service);
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
            longestPauseMs: Math.round(progress.pace.longestPauseMs()),
            longestSendMs: Math.round(progress.pace.longestSendMs()),
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
        await passAnswer(tryParts, opened, {
            onFirstEvent: noteRead,
            sign: seat.sign,
            isAlive: seat.isAlive,
            onMove: move =>
                watchOrders({
                    onOrdered: listener => book.onOrdered(place.entry.name, listener),
                    later,
                    takesMove: () => takeMove(tryParts),
                }, move),
        }),
    );
}
