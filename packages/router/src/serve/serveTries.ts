import type { EndpointName, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { planAfterFailure } from "@azureshunt/request";
import type { RequestState } from "@azureshunt/request";
import type { TryOutcome } from "../dispatch/TryOutcome.js";

import { failureOfOutcome } from "../dispatch/failureOfOutcome.js";
import { overloadWait } from "../placement/overloadWait.js";
import { allowedTries } from "./allowedTries.js";
import { createStreamPace } from "./createStreamPace.js";
import { isRepeatable } from "./isRepeatable.js";
import { placeRequest } from "./placeRequest.js";
import { runTry } from "./runTry.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { StreamProgress } from "./StreamProgress.js";
import type { TryPlace } from "./TryPlace.js";
import type { TryResult } from "./TryResult.js";

/** Tries left in the budget below which none is begun for mere silence. */
const ENOUGH_BUDGET = 2;
/** A place that frees or an endpoint that comes back is worth asking for again after so long, in seconds. */
const COME_BACK_SECONDS = 0.25;
const MS_PER_SECOND = 1_000;

/** How serving a request ended. */
type ServedEnd =
    | { readonly kind: "answered"; readonly answer: TryResult["answer"]; readonly tries: number; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "cancelled"; readonly ran: RequestState["ran"]; };

/** Whether no route to the same service has a more urgent priority. */
const isUrgent = (parts: ServeParts, { route, service }: ServedRequest): boolean =>
    (parts.knowledge().configuration?.routes ?? [])
        .filter(other => other.targets.some(target => target.service === service))
        .every(other => other.priority >= route.priority);

type Progress = {
    readonly request: RequestState;
    readonly avoid: ReadonlySet<EndpointName>;
    /** Tries that surely did not run. */
    readonly notRun: number;
    /** An endpoint's own failure; it goes to the caller if nothing better comes. */
    readonly failure: TryResult["answer"];
};

const NOT_RUN: ReadonlySet<TryOutcome> = new Set(["unreached", "refused", "elsewhere"]);

const ranAfter = (kind: TryOutcome, before: RequestState["ran"]): RequestState["ran"] =>
    NOT_RUN.has(kind) ? before : "maybe";

/** Serves a request by one try after the other, until it is answered or a further try is ruled out. */
export async function serveTries(parts: ServeParts, served: ServedRequest): Promise<ServedEnd> {
    const stream: StreamProgress = {
        passedEvents: 0,
        lastEventId: served.caller.lastEventId,
        pace: createStreamPace(parts.clock.now),
    };

    const give = (progress: Progress, refusal: Refusal): ServedEnd =>
        progress.failure === undefined || stream.passedEvents > 0
            ? { kind: "refused", refusal }
            : { kind: "answered", answer: progress.failure, tries: progress.request.tries };

    const next = async (progress: Progress): Promise<ServedEnd> => {
        parts.checkPause();
        if (parts.quarantine.isStopped(served)) {
            const { ran } = progress.request;
            return give(
                progress,
                refusalOf(ran === "no" ? "request-quarantined" : "endpoint-failed", undefined, { ran }),
            );
        }
        const place = placeRequest(parts, served, progress.avoid);
        if (place === undefined) {
            const ran = progress.request.ran;
            const kind = stream.passedEvents > 0 ? "stream-broken" : ran === "no" ? "no-endpoint" : "endpoint-failed";
            return give(progress, refusalOf(kind, undefined, { retryAfterSeconds: COME_BACK_SECONDS, ran }));
        }
        const { request } = progress;
        served.notes.add("Endpoint chosen.", {
            endpoint: place.entry.name,
            queueMs: Math.round(place.queueMs),
            startMs: Math.round(place.startMs),
            missingTokens: place.missingTokens,
            source: place.source,
            weights: place.weights,
            running: place.running,
            candidates: place.candidates,
        });
        const waitMs = served.caller.prompt === undefined || stream.passedEvents > 0
            ? undefined
            : overloadWait({
                queueMs: place.queueMs,
                startMs: place.startMs,
                objectiveMs: served.route.objectiveMs,
                isUrgent: isUrgent(parts, served),
            });
        if (waitMs !== undefined) {
            const retryAfterSeconds = Math.max(COME_BACK_SECONDS, waitMs / MS_PER_SECOND);
            const kind = request.ran === "no" ? "overloaded" : "endpoint-failed";
            const detail = `best endpoint ${place.entry.name}: turn in ${Math.round(place.queueMs)} ms, `
                + `first token in ${Math.round(place.startMs)} ms, objective ${served.route.objectiveMs} ms`;
            return give(progress, refusalOf(kind, detail, { retryAfterSeconds, ran: request.ran }));
        }
        // Where no further try may be made, silence is waited out: giving up would only lose the answer.
        const hasBudget = parts.budgets.of(served.service).balance >= ENOUGH_BUDGET;
        const isLastTry = request.tries + 1 >= allowedTries(served.route.maxTries, progress.notRun) || !hasBudget;
        const result = await runTry({ parts, served, place, progress: stream, isLastTry });
        return after(progress, place, result);
    };

    const after = async (progress: Progress, place: TryPlace, result: TryResult): Promise<ServedEnd> => {
        const { request } = progress;
        if (result.kind === "broken") {
            await parts.quarantine.broke(served, place.entry);
        }
        if (result.kind === "answered") {
            return { kind: "answered", answer: result.answer, tries: request.tries + 1 };
        }
        if (result.kind === "cancelled" || served.signal.aborted) {
            return { kind: "cancelled", ran: ranAfter(result.kind, request.ran) };
        }
        const tried: RequestState = {
            ...request,
            tries: request.tries + 1,
            next: stream.passedEvents,
            ran: ranAfter(result.kind, request.ran),
        };
        if (result.kind === "moved") {
            // Its further try was taken when it left, so that many streams that leave at once do not use up the budget.
            parts.budgets.release(served.service);
        }
        const failure = result.answer ?? progress.failure;
        const notRun = progress.notRun + (NOT_RUN.has(result.kind) ? 1 : 0);
        const maxTries = allowedTries(served.route.maxTries, notRun);
        const budget = parts.budgets.of(served.service);
        const plan = planAfterFailure(tried, failureOfOutcome(result.kind), budget, parts.clock.now(), {
            maxTries,
        });
        served.notes.add(plan.kind === "answer" ? "No further try." : "Trying again.", {
            after: result.kind,
            ran: tried.ran,
            tries: tried.tries,
            maxTries,
            budget: Math.floor(budget.balance),
            passedEvents: stream.passedEvents,
            reason: plan.kind === "answer" ? plan.refusal.kind : undefined,
        });
        if (plan.kind === "answer") {
            return give({ ...progress, failure }, {
                ...plan.refusal,
                ran: tried.ran,
                retryAfterSeconds: COME_BACK_SECONDS,
            });
        }
        parts.budgets.set(served.service, plan.budget);
        parts.metrics.count("azureshunt_retries_total", "Further tries by what ended the one before.", {
            after: result.kind,
        });
        return next({ request: tried, avoid: new Set([...progress.avoid, place.entry.name]), notRun, failure });
    };

    return next({
        request: {
            repeatable: isRepeatable(served.route.kind),
            deadline: served.endsAt,
            tries: 0,
            next: 0,
            ran: "no",
        },
        avoid: new Set(),
        notRun: 0,
        failure: undefined,
    });
}
