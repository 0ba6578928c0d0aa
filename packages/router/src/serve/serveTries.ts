import type { EndpointName, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { planAfterFailure } from "@azureshunt/request";
import type { RequestState } from "@azureshunt/request";
import type { TryOutcome } from "../dispatch/TryOutcome.js";

import { failureOfOutcome } from "../dispatch/failureOfOutcome.js";
import { overloadDelayMs } from "../placement/overloadDelayMs.js";
import { allowedTries } from "./allowedTries.js";
import { countSharedRefusal } from "./countSharedRefusal.js";
import { createStreamPace } from "./createStreamPace.js";
import { isRepeatable } from "./isRepeatable.js";
import { isTooLate } from "./isTooLate.js";
import { placeRequest } from "./placeRequest.js";
import { processPendingCloses } from "./processPendingCloses.js";
import { refusalAsTooLate } from "./refusalAsTooLate.js";
import { refusalWithoutPlace } from "./refusalWithoutPlace.js";
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
    /** Tries that certainly did not run. */
    readonly notRun: number;
    /** An endpoint's own error; it is sent to the caller if no better answer follows. */
    readonly failure: TryResult["answer"];
};

const NOT_RUN_OUTCOMES: ReadonlySet<TryOutcome> = new Set(["unreached", "refused", "elsewhere"]);

const ranAfter = (kind: TryOutcome, before: RequestState["ran"]): RequestState["ran"] =>
    NOT_RUN_OUTCOMES.has(kind) ? before : "maybe";

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

    const giveUp = (progress: RequestProgress, refusal: Refusal): ServedEnd =>
        progress.failure === undefined || stream.forwardedEvents > 0
            ? { kind: "refused", refusal }
            : { kind: "answered", answer: progress.failure, tries: progress.request.tries };

    const startTry = async (progress: RequestProgress): Promise<ServedEnd> => {
        parts.checkSuspension();
        if (!parts.quarantine.admit(served)) {
            const { ran } = progress.request;
            return giveUp(
                progress,
                refusalOf(ran === "no" ? "request-quarantined" : "endpoint-failed", undefined, { ran }),
            );
        }
        if (parts.isLagging()) {
            await processPendingCloses();
        }
        if (served.signal.aborted) {
            return { kind: "cancelled", ran: progress.request.ran };
        }
        if (isTooLate(parts, served)) {
            return giveUp(progress, refusalAsTooLate(parts, served, progress.request.ran, stream));
        }
        const place = placeRequest(parts, served, progress.avoid, stream.origin);
        if (place === undefined) {
            return giveUp(progress, refusalWithoutPlace(parts, served, progress.request.ran, stream));
        }
        const { request } = progress;
        served.notes.add("Endpoint chosen.", {
            endpoint: place.entry.name,
            softwareVersion: place.entry.softwareVersion,
            bornAt: place.entry.bornAt,
            queueMs: Math.round(place.queueMs),
            startMs: Math.round(place.startMs),
            missingTokens: place.missingTokens,
            source: place.source,
            weights: place.weights,
            running: place.running,
            candidates: place.candidateCount,
        });
        const isOverShare = parts.serviceShares.isOver(served);
        const isNew = served.caller.prompt !== undefined && stream.origin === undefined;
        const overloadMs = isNew
            ? overloadDelayMs({
                queueMs: place.queueMs,
                startMs: place.startMs,
                objectiveMs: served.route.objectiveMs,
                isUrgent: isUrgent(parts, served),
                isOverShare,
            })
            : undefined;
        const degradedMs = isNew && request.tries === 0 ? parts.degradation.delayMs(served, place) : undefined;
        const waitMs = overloadMs ?? degradedMs;
        if (waitMs !== undefined) {
            parts.serviceShares.recordRefused(served);
            countSharedRefusal(parts.metrics, "overloaded", isOverShare);
            const kind = request.ran === "no" ? "overloaded" : "endpoint-failed";
            const detail = `best endpoint ${place.entry.name}: turn in ${Math.round(place.queueMs)} ms, `
                + `first token in ${Math.round(place.startMs)} ms, objective ${served.route.objectiveMs} ms`
                + (overloadMs === undefined ? `, degradation step ${parts.degradation.stepOf(served.service)}` : "")
                + (isOverShare ? `, ${served.organisation?.id ?? "callers without a key"} over their share` : "");
            return giveUp(
                progress,
                refusalOf(kind, detail, {
                    retryAfterSeconds: retryAfterSeconds(parts, served, waitMs),
                    ran: request.ran,
                }),
            );
        }
        // If no retry is possible, the try waits out silence: giving up would only lose the answer.
        const hasBudget = parts.retryBudgets.of(served.service).balance >= MIN_BUDGET_FOR_SILENCE;
        const isLastTry = request.tries + 1 >= allowedTries(served.route.maxTries, progress.notRun) || !hasBudget;
        const path = request.tries > 0 ? "further" : served.caller.lastEventId === undefined ? "first" : "resumed";
        parts.endpointLimits.recordTry(place.entry, path);
        parts.overload.recordSent(served.service);
        const endShare = parts.serviceShares.begin(served);
        const result = await runTry({ parts, served, place, progress: stream, isLastTry }).finally(endShare);
        return afterTry(progress, place, result);
    };

    const afterTry = async (progress: RequestProgress, place: TryPlace, result: TryResult): Promise<ServedEnd> => {
        const { request } = progress;
        const mayTryAgain = result.kind !== "broken"
            || await parts.quarantine.reportBrokenTry(served, place.entry, result.stage);
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
        const notRun = progress.notRun + (NOT_RUN_OUTCOMES.has(result.kind) ? 1 : 0);
        const maxTries = allowedTries(served.route.maxTries, notRun);
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
        if (plan.kind === "answer") {
            return giveUp({ ...progress, failure }, {
                ...plan.refusal,
                ran: tried.ran,
                retryAfterSeconds: retryAfterSeconds(parts, served),
            });
        }
        parts.retryBudgets.set(served.service, plan.budget);
        parts.metrics.count("azureshunt_retries_total", "Further tries by what ended the one before.", {
            after: result.kind,
        });
        return startTry({ request: tried, avoid: new Set([...progress.avoid, place.entry.name]), notRun, failure });
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
        notRun: 0,
        failure: undefined,
    });
}
