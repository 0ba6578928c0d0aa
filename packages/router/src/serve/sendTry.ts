import type { Millis } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";

import { openCall } from "../dispatch/openCall.js";
import type { OpenedCall } from "../dispatch/OpenedCall.js";
import { PROVEN_MAX_IDLE_MS } from "../dispatch/PROVEN_MAX_IDLE_MS.js";
import { chainOf } from "../placement/chainOf.js";
import type { InFlightHandle } from "../placement/InFlightHandle.js";
import { areStoresCrowded } from "./areStoresCrowded.js";
import { forwardAnswer } from "./forwardAnswer.js";
import { headTimeout } from "./headTimeout.js";
import { isRepeatable } from "./isRepeatable.js";
import { isSendableHead } from "./isSendableHead.js";
import { isStream } from "./isStream.js";
import { isTooLate } from "./isTooLate.js";
import { judgeHead } from "./judgeHead.js";
import { priorityOf } from "./priorityOf.js";
import { recordOrigin } from "./recordOrigin.js";
import type { ReservedPlace } from "./ReservedPlace.js";
import { reserveMove } from "./reserveMove.js";
import { statedWeights } from "./statedWeights.js";
import type { TryParts } from "./TryParts.js";
import type { TryResult } from "./TryResult.js";
import type { TryStage } from "./TryStage.js";
import { watchOrders } from "./watchOrders.js";

const MAX_IDLE_MS = 12_000;
/** Closes all idle connections, so that a new one is opened. */
const NO_IDLE_MS = -1;
/** Estimates below this are taken for as much when answers are compared with them: round trips are part of each answer. */
const MIN_ESTIMATE_MS = 20;
/** An endpoint that crashes on what it has begun to answer does so within this time after its first event. */
const SETTLED_MS = 300;

/**
 * Returns the address of the cache store if the endpoint should save the prompt's parts there. Parts that the store
 * already has from any VM are not saved again. As a prompt is saved whole, its own part, which is never read again, takes
 * part of the store's link and evicts others. If the stores are crowded, prompts whose own part is larger than the
 * shared ones are left to other requests.
 */
const storeToSaveTo = ({ parts, place }: TryParts): string | undefined => {
    const { sharedTokens, ownTokens } = place;
    return place.storedTokens >= sharedTokens || (ownTokens > sharedTokens && areStoresCrowded(parts))
        ? undefined
        : place.store;
};

const headersFor = (
    { parts, served, place, progress, hold }: TryParts,
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
        hold,
        bodyBytes: served.body.length,
    });
};

/**
 * Returns how long a connection may have been idle that is used for a request. One that may run only once is lost with its
 * connection, so it gets a proven one. If an endpoint answers twice, the late
 * answer ends the next request on the connection, which is lost if it may run only once. Such a request gets a new one.
 *
 * What loses one connection without a sign, such as a device between them, loses others with it. A request whose first try was
 * lost on one of them would spend the rest of its time on another.
 */
const maxIdleMsOf = ({ parts, served, place, isAfterLoss }: TryParts): Millis => {
    if (isRepeatable(served.route.kind)) {
        return isAfterLoss ? PROVEN_MAX_IDLE_MS : MAX_IDLE_MS;
    }
    return parts.agent.hasSentUnasked(place.entry.address) ? NO_IDLE_MS : PROVEN_MAX_IDLE_MS;
};

/** Returns what was seen of an answer and its connection; `undefined` if none began. */
const endSeen = (opened: OpenedCall | undefined) =>
    opened?.kind === "head"
        ? { framing: opened.framing, connectionEnd: opened.connectionEnd(), carrier: opened.carrier }
        : undefined;

/**
 * Sends a request to one endpoint and, if it is a stream, forwards its events to the caller.
 *
 * @param inFlight the request at the endpoint, which this ends unless it throws
 */
export async function sendTry(tryParts: TryParts, inFlight: InFlightHandle): Promise<TryResult> {
    const { parts, served, place, progress, isLastTry } = tryParts;
    const { clock, endpointTable, prefixIndex } = parts;
    const startedAt = clock.now();
    const { running, slots } = place;
    parts.brittleServices.recordTry(served.service, { endpoint: place.entry.name, running, slots });
    const remainingMs = served.deadline - startedAt;
    const { kind, objectiveMs } = served.route;
    const saveTo = storeToSaveTo(tryParts);
    const times = { headMs: undefined as Millis | undefined, firstEventMs: undefined as Millis | undefined };
    const used = { opened: undefined as OpenedCall | undefined, isSent: false, isWithheld: false };
    const stageAt = (ms: Millis): TryStage => {
        const { headMs, firstEventMs } = times;
        if (headMs === undefined) {
            return "waiting";
        }
        if (firstEventMs === undefined) {
            return "begun";
        }
        return ms - firstEventMs < SETTLED_MS ? "unsettled" : "answering";
    };
    const answered = { isReported: false };
    const reportAnswered = (): void => {
        if (!answered.isReported) {
            answered.isReported = true;
            parts.quarantine.reportAnswered(served);
        }
    };
    const onActivity = (now: Millis): void => {
        inFlight.onActivity(now);
        if (!answered.isReported && stageAt(now - startedAt) === "answering") {
            reportAnswered();
        }
    };
    const recordStart = (startMs: Millis, outcome: "started" | "waited"): void =>
        endpointTable.recordStart(place.entry, {
            candidate: place.candidate,
            model: served.caller.prompt?.model,
            predictedMs: place.startMs,
            sentAt: startedAt,
            startMs,
            outcome,
        });
    const moved = { to: undefined as ReservedPlace | undefined };
    const finish = (ended: Pick<TryResult, "kind" | "answer">): TryResult => {
        const endedMs = clock.now() - startedAt;
        const { kind, answer } = ended;
        const reserved = kind === "moved" ? moved.to : undefined;
        const result: TryResult = { kind, answer, stage: stageAt(endedMs), reserved };
        if (result.stage === "answering" || (result.kind === "answered" && times.firstEventMs !== undefined)) {
            reportAnswered();
        }
        inFlight.end(result.kind);
        // A call that was withheld, or cancelled while its connection opened, says nothing of the endpoint's speed.
        if (used.isSent && times.headMs === undefined && (result.kind === "silent" || result.kind === "cancelled")) {
            recordStart(clock.now() - startedAt, "waited");
        }
        const startMs = times.firstEventMs ?? times.headMs;
        if (result.kind === "answered" && times.headMs !== undefined) {
            parts.overload.recordAnswer(served.route, times.headMs);
        }
        parts.rollouts.recordTry(place.entry, {
            route: served.route.name,
            outcome: result.kind,
            status: result.answer?.status,
            slowness: startMs === undefined ? undefined : startMs / Math.max(MIN_ESTIMATE_MS, place.usualMs),
        });
        const seen = endSeen(used.opened);
        if (result.kind !== "answered" || seen?.framing === "connection") {
            served.notes.flush();
        }
        served.notes.add("Try ended.", {
            endpoint: place.entry.name,
            outcome: result.kind,
            connection: used.opened?.connection ?? "none",
            ...seen,
            stage: result.stage,
            status: result.answer?.status,
            ms: Math.round(clock.now() - startedAt),
            headMs: times.headMs,
            firstEventMs: times.firstEventMs,
            estimatedMs: Math.round(place.startMs),
            missingTokens: place.missingTokens,
            running: place.running,
            model: served.caller.prompt?.model,
            weights: place.weights,
            softwareVersion: place.entry.softwareVersion,
            events: progress.forwardedEvents,
            longestPauseMs: Math.round(progress.pace.maxGapMs()),
            longestSendMs: Math.round(progress.pace.maxSendMs()),
            isLastTry,
        });
        parts.metrics.count("azureshunt_tries_total", "Tries at endpoints by how they ended.", {
            outcome: result.kind,
            connection: used.opened?.connection ?? "none",
        });
        if (seen !== undefined) {
            parts.metrics.count(
                "azureshunt_answers_total",
                "Answers that began, by what ends them, how their connection ended and who opened it.",
                {
                    framing: seen.framing,
                    connectionEnd: seen.connectionEnd,
                    by: seen.carrier === undefined ? "own" : "peer",
                },
            );
        }
        return result;
    };
    const opened = await openCall(parts.agent, {
        address: place.entry.address,
        method: served.caller.method,
        target: served.caller.target,
        headers: headersFor(tryParts, remainingMs, saveTo),
        body: served.body,
        maxIdleMs: maxIdleMsOf(tryParts),
        isRepeatable: isRepeatable(kind),
        headMs: headTimeout(kind, objectiveMs, place.startMs, remainingMs, isLastTry),
        // A busy engine has the request in its queue; sending it to another one would only make both busier. One that answers
        // later requests first has not got it, as its connection was lost without a sign, or has lost it.
        isAlive: served.caller.prompt === undefined ? undefined : () => inFlight.isAlive() && !inFlight.isOvertaken(),
        // Asked once a connection is open.
        maySend: () => {
            inFlight.onReached();
            used.isWithheld = !parts.availability.maySend(place.entry);
            used.isSent = !used.isWithheld && !isTooLate(parts, served) && parts.runClaims.passOn(served.res);
            return used.isSent;
        },
        bounds: parts.flowBounds(),
        onBody: parts.unreadBodies.begin,
    }, served.signal);
    used.opened = opened;
    if (opened.kind !== "head") {
        return finish({ kind: used.isWithheld ? "withheld" : opened.kind, answer: undefined });
    }
    inFlight.onActivity(clock.now());
    times.headMs = Math.round(clock.now() - startedAt);
    const head = parts.endpointWire.decodeHead(opened.res);
    const model = served.caller.prompt?.model;
    const weights = statedWeights(head, served);
    if (weights !== undefined) {
        endpointTable.observeWeights(place.entry.name, weights);
    }
    if (head.maxRefusals !== undefined) {
        parts.brittleServices.announce(served.service, head.maxRefusals);
    }
    // Sent later, within an event, it would throw where the error reaches nobody.
    const verdict = isSendableHead(opened.res) ? judgeHead(head, served) : "garbled";
    if (head.ignoredHeaders.length > 0) {
        parts.reportIgnoredHeaders(place.entry.name, head.ignoredHeaders);
    }
    if (verdict === "forward" || verdict === "failed" || verdict === "refused") {
        parts.availability.observe(place.entry, {
            ...head,
            // An intermediary may have refused if no request is named.
            isGenuine: head.requestId !== undefined,
            shows: verdict === "refused" ? "no-room" : "room",
            sentAt: startedAt,
        });
    }
    // An endpoint may refuse before it states its limit, so a refusal without one does not end it.
    if (verdict === "forward" || verdict === "failed" || (verdict === "refused" && head.limit !== undefined)) {
        parts.endpointLimits.observe(place.entry, head.limit);
    }
    if (verdict === "refused") {
        parts.brittleServices.recordRefused(served.service, place.entry.name);
    }
    if (verdict === "garbled") {
        if (head.requestId !== undefined && head.requestId !== served.caller.id) {
            parts.agent.recordUnasked(place.entry.address);
        }
        opened.res.destroy();
        return finish({ kind: verdict, answer: undefined });
    }
    if (verdict === "elsewhere" && model !== undefined) {
        served.notes.add("Rejected as misdirected.", {
            expected: place.weights,
            ...endpointTable.weightsBasis(place.entry, model),
        });
    }
    if (verdict === "refused" || verdict === "elsewhere") {
        if (head.requestId === undefined) {
            // If it came a second time, it would be taken for an answer to the next request on the connection.
            opened.res.destroy();
        }
        else {
            opened.res.resume();
        }
        return finish({ kind: verdict, answer: undefined });
    }
    // A plain answer starts with its head; the first event of a stream follows later.
    if (verdict === "forward" && served.caller.prompt === undefined) {
        recordStart(clock.now() - startedAt, "started");
    }
    const recordPrefill = (): void => {
        if (served.caller.prompt !== undefined) {
            recordStart(clock.now() - startedAt, "started");
        }
        if (isStream(kind)) {
            recordOrigin(tryParts);
        }
        times.firstEventMs = Math.round(clock.now() - startedAt);
        inFlight.answerStarted();
        // Computed again, as it takes as much memory as the prompt's parts while the request waits.
        const { prompt } = served.caller;
        const chain = place.salt === undefined || prompt === undefined ? [] : chainOf(place.salt, prompt);
        prefixIndex.record(place.entry.name, chain, clock.now());
        if (saveTo !== undefined) {
            prefixIndex.record(saveTo, chain, clock.now());
        }
    };
    return finish(
        await forwardAnswer(tryParts, opened, {
            onFirstEvent: recordPrefill,
            onActivity,
            isAlive: inFlight.isAlive,
            onMove: move =>
                model === undefined ? () => undefined : watchOrders({
                    onOrdered: listener => endpointTable.onOrdered(place.entry.name, model, listener),
                    schedule: startTimeout,
                    reserve: () => reserveMove(tryParts),
                }, reserved => {
                    moved.to = reserved;
                    move();
                }),
        }),
    );
}
