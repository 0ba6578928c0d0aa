import { refusalOf } from "@azureshunt/core";
import type { EndpointName, ErrorKind, Ran, Refusal } from "@azureshunt/core";

import { retryAfterSeconds as retryAfterOfRefused } from "./retryAfterSeconds.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { StreamProgress } from "./StreamProgress.js";

/** Endpoints that the detail of a refusal names. */
const MAX_NAMED = 5;
const MS_PER_SECOND = 1_000;

const listOf = (endpoints: readonly EndpointName[]): string =>
    endpoints.slice(0, MAX_NAMED).join(", ")
    + (endpoints.length > MAX_NAMED ? ` and ${endpoints.length - MAX_NAMED} more` : "");

/**
 * Returns the refusal of a request that no endpoint can take now.
 *
 * @param ran whether an earlier try of it may have run
 * @param isUrgent whether no other request of the service is more urgent
 */
export function refusalWithoutPlace(
    parts: Pick<
        ServeParts,
        "availability" | "endpointTable" | "endpointLimits" | "brittleServices" | "overload" | "clock"
    >,
    served: Pick<ServedRequest, "service" | "caller" | "route" | "sendBefore">,
    { ran, isUrgent }: { readonly ran: Ran; readonly isUrgent: boolean; },
    { forwardedEvents }: Pick<StreamProgress, "forwardedEvents">,
): Refusal {
    const { endpointLimits, brittleServices } = parts;
    const { service, caller } = served;
    const refuse = (kind: ErrorKind): Refusal =>
        refusalOf(kind, undefined, { retryAfterSeconds: retryAfterOfRefused(parts, served), ran });
    if (ran !== "no") {
        return refuse(forwardedEvents > 0 ? "stream-broken" : "endpoint-failed");
    }
    const model = caller.prompt?.model;
    const serving = parts.endpointTable.servingEntries(service)
        .filter(({ versions }) => model === undefined || versions.has(model));
    const returnAfterMs = parts.availability.returnAfterMs(serving, isUrgent);
    if (returnAfterMs !== undefined) {
        const detail = `want a pause: ${listOf(serving.map(({ name }) => name))}`;
        return refusalOf("endpoints-paused", detail, { retryAfterSeconds: returnAfterMs / MS_PER_SECOND, ran });
    }
    const limited = endpointLimits.refuse({ service, model });
    if (limited !== undefined) {
        const { endpoints, retryAfterSeconds } = limited;
        const detail = `limited: ${listOf(endpoints)}`;
        return refusalOf("endpoints-limited", detail, { retryAfterSeconds, ran });
    }
    return refuse(brittleServices.isBrittle(service) ? "overloaded" : "no-endpoint");
}
