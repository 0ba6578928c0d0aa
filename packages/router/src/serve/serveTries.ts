import type { EndpointName, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { WaitTicket } from "@azureshunt/overload";
import { planAfterFailure } from "@azureshunt/request";
import type { RequestState } from "@azureshunt/request";
import type { TryOutcome } from "../dispatch/TryOutcome.js";

import { failureOfOutcome } from "../dispatch/failureOfOutcome.js";
import { overloadDelayMs } from "../placement/overloadDelayMs.js";
import { allowedTries } from "./allowedTries.js";
import { awaitPlace } from "./awaitPlace.js";
import { countSharedRefusal } from "./countSharedRefusal.js";
import { createStreamPace } from "./createStreamPace.js";
import { isRepeatable } from "./isRepeatable.js";
import { isTooLate } from "./isTooLate.js";
import { noteWeights } from "./noteWeights.js";
import { placeRequest } from "./placeRequest.js";
import { processPendingCloses } from "./processPendingCloses.js";
import { refusalAsTooLate } from "./refusalAsTooLate.js";
import { refusalWithoutPlace } from "./refusalWithoutPlace.js";
import type { ReservedPlace } from "./ReservedPlace.js";
import { resolveContinuation } from "./resolveContinuation.js";
import { retryAfterSeconds } from "./retryAfterSeconds.js";
import { runTry } from "./runTry.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { StreamProgress } from "./StreamProgress.js";
import type { TryPlace } from "./TryPlace.js";
import type { TryResult } from "./TryResult.js";

/** Retries left in the budget below which silence alone does not start one. */
const MIN_BUDGET_FOR_SILENCE = 2;

/** Time for which callers wait for the next event of a stream at least. */
const PATIENCE_MS = 2_000;
/**
 * Tries beyond the route's that reached no endpoint, after which a request gets no endpoint in backoff. All requests of
 * this VM share the backoffs, so these bound the connections that are tried in vain.
 */
const MAX_EXTRA_UNREACHED = 2;
/** Refusals after which a stream waits no more: an engine may keep a place and refuse the request all the same. */
const MAX_REFUSALS = 6;

/** How serving a request ended. */
type ServedEnd =
    | { readonly kind: "answered"; readonly answer: TryResult["answer"]; readonly tries: number; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "cancelled"; readonly ran: RequestState["ran"]; };

/** Returns whether no route to the same service has a more urgent priority. */
const isUrgent = (parts: ServeParts, { route, service }: ServedRequest): boolean =>
    (parts.declaredState().configuration?.routes ?? [])
        .filter(other => other.targets.some(target => target.service === service))
        .every(other => other.priority >= route.priority);

type RequestProgress = {
    readonly request: RequestState;
    readonly avoid: ReadonlySet<EndpointName>;
    /** Those of them that may have run it. */
    readonly ranAt: ReadonlySet<EndpointName>;
    /** Tries that reached no endpoint. */
    readonly unreached: number;
    /** Tries that reached an endpoint, which certainly did not run the request. */
    readonly refused: number;
    /** An endpoint's own error; it is sent to the caller if no better answer follows. */
    readonly failure: TryResult["answer"];
    /** Ticket of the wait from which it was released; `undefined` if it has not waited. */
    readonly waited: WaitTicket | undefined;
    /** Whether it was placed for its last try, which reached no endpoint. */
    readonly isPlacedAgain: boolean;
};

const NOT_RUN_OUTCOMES: ReadonlySet<TryOutcome> = new Set(["unreached", "refused", "elsewhere"]);

const ranAfter = (kind: TryOutcome, before: RequestState["ran"]): RequestState["ran"] =>
    NOT_RUN_OUTCOMES.has(kind) ? before : "maybe";

const refusalAsQuarantined = ({ request: { ran } }: RequestProgress): Refusal =>
    refusalOf(ran === "no" ? "request-quarantined" : "endpoint-failed", undefined, { ran });

/** Notes the endpoint of a try; placements after which a request waits are left out, as there may be dozens. */
const notePlace = (served: ServedRequest, place: TryPlace): void =>
    served.notes.add("Endpoint chosen.", {
        endpoint: place.entry.name,
        softwareVersion: place.entry.softwareVersion,
        bornAt: place.entry.bornAt,
        queueMs: Math.round(place.queueMs),
        startMs: Math.round(place.startMs),
        missingTokens: place.missingTokens,
        source: place.source,
        model: served.caller.prompt?.model,
        weights: place.weights,
        running: place.running,
        candidates: place.candidateCount,
    });

/** Serves a request by one try after another, until it is answered or no retry is possible. */
export async function serveTries(parts: ServeParts, admitted: ServedRequest): Promise<ServedEnd> {
    const continuation = await resolveContinuation(parts, admitted);
    if (continuation.kind === "refused") {
        return continuation;
    }
    const { origin } = continuation;
    const served = origin === undefined ? admitted : { ...admitted, service: origin.service };
    const stream: StreamProgress = {
        forwardedEvents: 0,
        lastEventId: served.caller.lastEventId,
        origin,
        pace: createStreamPace(admitted.output),
    };

    const giveUp = (progress: RequestProgress, refusal: Refusal): ServedEnd => {
        parts.requestQueues.recordEnd(served, progress.waited, "refused");
        return progress.failure === undefined || stream.forwardedEvents > 0
            ? { kind: "refused", refusal }
            : { kind: "answered", answer: progress.failure, tries: progress.request.tries };
    };
    const cancel = ({ request, waited }: RequestProgress): ServedEnd => {
        parts.requestQueues.recordEnd(served, waited, "cancelled");
        return { kind: "cancelled", ran: request.ran };
    };

    /** Ends a request for which there is no further try now, unless it is a stream that can go on a little later. */
    const waitOrGiveUp = async (progress: RequestProgress, refusal: Refusal): Promise<ServedEnd> => {
        const { request, avoid, ranAt, unreached, refused } = progress;
        const { lastAt } = stream.pace;
        const mayWait = stream.forwardedEvents > 0 && request.repeatable && served.caller.prompt !== undefined
            && request.tries - unreached - refused < served.route.maxTries && refused < MAX_REFUSALS;
        const until = Math.min(served.deadline, (lastAt() ?? -Infinity) + PATIENCE_MS);
        const reserved = mayWait
            ? await awaitPlace(parts, served, { tried: avoid, ranAt, origin: stream.origin, until })
            : undefined;
        if (reserved !== undefined) {
            return startTry(progress, reserved);
        }
        return served.signal.aborted ? cancel(progress) : giveUp(progress, refusal);
    };

    // One draw per request: drawn again after each wait, every request would be treated as within the share in the end.
    const shareDraw = parts.random();

    const startTry = async (progress: RequestProgress, reserved?: ReservedPlace): Promise<ServedEnd> => {
        parts.checkSuspension();
        if (parts.quarantine.isQuarantined(served)) {
            reserved?.release();
            return giveUp(progress, refusalAsQuarantined(progress));
        }
        // A caller may have left while its request waited.
        if (parts.isLagging() || progress.waited !== undefined) {
            await processPendingCloses();
        }
        if (served.signal.aborted) {
            reserved?.release();
            return cancel(progress);
        }
        if (isTooLate(parts, served)) {
            reserved?.release();
            return giveUp(progress, refusalAsTooLate(parts, served, progress.request.ran, stream));
        }
        const place = reserved?.place
            ?? placeRequest(
                parts,
                served,
                progress.avoid,
                stream.origin,
                progress.waited !== undefined || progress.isPlacedAgain,
                {
                    isAfterUnreached: progress.unreached > 0,
                    mayBeInBackoff: progress.unreached < served.route.maxTries + MAX_EXTRA_UNREACHED,
                },
            );
        if (place === undefined) {
            noteWeights(parts, served);
            return waitOrGiveUp(
                progress,
                refusalWithoutPlace(
                    parts,
                    served,
                    { ran: progress.request.ran, isUrgent: isUrgent(parts, served) },
                    stream,
                ),
            );
        }
        const { request } = progress;
        const isOverShare = parts.serviceShares.isOver(served, shareDraw);
        const isBehind = progress.waited === undefined && request.ran === "no" &&
            parts.requestQueues.hasMoreUrgent(served);
        const isNew = served.caller.prompt !== undefined && stream.origin === undefined && reserved === undefined;
        const overloadMs = isNew
            ? overloadDelayMs({
                queueMs: place.queueMs,
                startMs: place.startMs,
                objectiveMs: served.route.objectiveMs,
                isUrgent: isUrgent(parts, served),
                isOverShare,
                waitedMs: progress.waited === undefined ? 0 : parts.clock.now() - progress.waited.since,
                isBehind,
            })
            : undefined;
        const isFirst = request.tries === 0 && progress.waited === undefined;
        const degradedMs = isNew && isFirst ? parts.degradation.delayMs(served, place) : undefined;
        const waitMs = overloadMs ?? degradedMs;
        if (waitMs !== undefined) {
            const kind = request.ran === "no" ? "overloaded" : "endpoint-failed";
            const detail = `best endpoint ${place.entry.name}: turn in ${Math.round(place.queueMs)} ms, `
                + `first token in ${Math.round(place.startMs)} ms, objective ${served.route.objectiveMs} ms`
                + (degradedMs !== undefined ? `, degradation step ${parts.degradation.stepOf(served.service)}` : "")
                + (isOverShare ? `, ${served.organisation?.id ?? "callers without a key"} over their share` : "")
                + (isBehind ? ", more urgent requests wait" : "");
            const roomAt = parts.clock.now() + waitMs;
            const refuse = (refused: RequestProgress): ServedEnd => {
                if (kind === "overloaded") {
                    parts.serviceShares.recordRefused(served);
                    countSharedRefusal(parts.metrics, kind, isOverShare);
                }
                return giveUp(
                    refused,
                    refusalOf(kind, detail, {
                        retryAfterSeconds: retryAfterSeconds(parts, served, Math.max(0, roomAt - parts.clock.now())),
                        ran: request.ran,
                    }),
                );
            };
            const predicted = { delayMs: waitMs, ownMs: place.startMs - place.queueMs };
            const end = request.ran === "no" && degradedMs === undefined
                ? await parts.requestQueues.wait(served, predicted, progress.waited)
                : undefined;
            const after = end === undefined ? progress : { ...progress, waited: end.ticket };
            switch (end?.kind) {
                case undefined:
                case "refused":
                    notePlace(served, place);
                    return refuse(after);
                case "released":
                    return startTry(after);
                case "cancelled":
                    return cancel(after);
                case "closed":
                    return giveUp(
                        after,
                        refusalOf("shutting-down", undefined, { retryAfterSeconds: 0, ran: request.ran }),
                    );
            }
        }
        // Only now, as this starts a probe: one that waited afterwards would be refused, since a probe has just run.
        if (!parts.quarantine.admit(served)) {
            reserved?.release();
            return giveUp(progress, refusalAsQuarantined(progress));
        }
        parts.requestQueues.recordEnd(served, progress.waited, "sent");
        notePlace(served, place);
        // If no retry is possible, the try waits out silence: giving up would only lose the answer.
        const hasBudget = parts.retryBudgets.of(served.service).balance >= MIN_BUDGET_FOR_SILENCE;
        const { unreached, refused } = progress;
        const isLastTry = request.tries + 1 >= allowedTries(served.route.maxTries, unreached, refused) || !hasBudget;
        const path = request.tries > 0 ? "further" : served.caller.lastEventId === undefined ? "first" : "resumed";
        parts.endpointLimits.recordTry(place.entry, path);
        parts.availability.recordTry(place.entry, path);
        parts.overload.recordSent(served.service);
        const endShare = parts.serviceShares.begin(served);
        const endTry = parts.requestQueues.beginTry(served);
        const { avoid } = progress;
        const hold = reserved?.hold;
        const isAfterLoss = request.ran !== "no";
        const tryParts = { parts, served, place, progress: stream, isLastTry, isAfterLoss, avoid, hold };
        const result = await runTry(tryParts).finally(() => {
            endShare();
            endTry();
        });
        return afterTry({ ...progress, waited: undefined }, place, result);
    };

    const afterTry = async (progress: RequestProgress, place: TryPlace, result: TryResult): Promise<ServedEnd> => {
        const { request } = progress;
        if (result.kind === "withheld") {
            // Nothing has reached an endpoint, so it is no try and costs no retry.
            return startTry({ ...progress, avoid: new Set([...progress.avoid, place.entry.name]) });
        }
        const mayTryAgain = result.kind !== "broken"
            || await parts.quarantine.reportBrokenTry(served, place.entry, result.stage);
        if (result.kind === "answered" && result.answer !== undefined && stream.forwardedEvents > 0) {
            // The caller has the head and events of a stream, which no other answer can follow.
            const refusal = refusalOf("stream-broken", `its rest was answered with status ${result.answer.status}`, {
                retryAfterSeconds: retryAfterSeconds(parts, served),
                ran: "maybe",
            });
            return giveUp(progress, refusal);
        }
        if (result.kind === "answered") {
            return { kind: "answered", answer: result.answer, tries: request.tries + 1 };
        }
        if (result.kind === "cancelled" && !served.signal.aborted) {
            return giveUp(progress, refusalAsTooLate(parts, served, request.ran, stream));
        }
        if (result.kind === "cancelled" || served.signal.aborted) {
            return { kind: "cancelled", ran: ranAfter(result.kind, request.ran) };
        }
        const tried: RequestState = {
            ...request,
            tries: request.tries + 1,
            next: stream.forwardedEvents,
            ran: ranAfter(result.kind, request.ran),
        };
        if (result.kind === "moved") {
            // Its retry was reserved when it left, so that many streams that leave at once do not use up the budget.
            parts.retryBudgets.release(served.service);
        }
        const failure = result.answer ?? progress.failure;
        if (!mayTryAgain) {
            const kind = stream.forwardedEvents > 0 ? "stream-broken" : "endpoint-failed";
            const refusal = refusalOf(kind, "its prompt may crash endpoints", {
                retryAfterSeconds: retryAfterSeconds(parts, served),
                ran: tried.ran,
            });
            return giveUp({ ...progress, failure }, refusal);
        }
        const isUnreached = result.kind === "unreached";
        const unreached = progress.unreached + (isUnreached ? 1 : 0);
        const refused = progress.refused + (NOT_RUN_OUTCOMES.has(result.kind) && !isUnreached ? 1 : 0);
        const maxTries = allowedTries(served.route.maxTries, unreached, refused);
        const budget = parts.retryBudgets.of(served.service);
        const plan = planAfterFailure(tried, failureOfOutcome(result.kind), budget, parts.clock.now(), {
            maxTries,
        });
        served.notes.add(plan.kind === "answer" ? "No further try." : "Trying again.", {
            after: result.kind,
            ran: tried.ran,
            tries: tried.tries,
            maxTries,
            budget: Math.floor(budget.balance),
            passedEvents: stream.forwardedEvents,
            reason: plan.kind === "answer" ? plan.refusal.kind : undefined,
        });
        const avoid = new Set([...progress.avoid, place.entry.name]);
        const ranAt = NOT_RUN_OUTCOMES.has(result.kind)
            ? progress.ranAt
            : new Set([...progress.ranAt, place.entry.name]);
        const next: RequestProgress = {
            request: tried,
            avoid,
            ranAt,
            unreached,
            refused,
            failure,
            waited: undefined,
            isPlacedAgain: isUnreached,
        };
        if (plan.kind === "answer") {
            return waitOrGiveUp(next, {
                ...plan.refusal,
                ran: tried.ran,
                retryAfterSeconds: retryAfterSeconds(parts, served),
            });
        }
        parts.retryBudgets.set(served.service, plan.budget);
        parts.metrics.count("azureshunt_retries_total", "Further tries by what ended the one before.", {
            after: result.kind,
        });
        return startTry(next, result.reserved);
    };

    return startTry({
        request: {
            repeatable: isRepeatable(served.route.kind),
            deadline: served.deadline,
            tries: 0,
            next: 0,
            ran: "no",
        },
        avoid: new Set(),
        ranAt: new Set(),
        unreached: 0,
        refused: 0,
        failure: undefined,
        waited: undefined,
        isPlacedAgain: false,
    });
}
