import { refusalOf } from "@azureshunt/core";
import type { ErrorKind, Ran, Refusal } from "@azureshunt/core";

import { retryAfterSeconds as retryAfterOfRefused } from "./retryAfterSeconds.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { StreamProgress } from "./StreamProgress.js";

/** Limited endpoints that the detail of a refusal names. */
const MAX_NAMED = 5;

/**
 * Returns the refusal of a request that no endpoint can take now.
 *
 * @param ran whether an earlier try of it may have run
 */
export function refusalWithoutPlace(
    parts: Pick<ServeParts, "endpointLimits" | "brittleServices" | "overload" | "clock">,
    served: Pick<ServedRequest, "service" | "caller" | "route" | "sendBefore">,
    ran: Ran,
    { forwardedEvents }: Pick<StreamProgress, "forwardedEvents">,
): Refusal {
    const { endpointLimits, brittleServices } = parts;
    const { service, caller } = served;
    const refuse = (kind: ErrorKind): Refusal =>
        refusalOf(kind, undefined, { retryAfterSeconds: retryAfterOfRefused(parts, served), ran });
    if (ran !== "no") {
        return refuse(forwardedEvents > 0 ? "stream-broken" : "endpoint-failed");
    }
    const limited = endpointLimits.refuse({ service, model: caller.prompt?.model });
    if (limited !== undefined) {
        const { endpoints, retryAfterSeconds } = limited;
        const more = endpoints.length > MAX_NAMED ? ` and ${endpoints.length - MAX_NAMED} more` : "";
        const detail = `limited: ${endpoints.slice(0, MAX_NAMED).join(", ")}${more}`;
        return refusalOf("endpoints-limited", detail, { retryAfterSeconds, ran });
    }
    return refuse(brittleServices.isBrittle(service) ? "overloaded" : "no-endpoint");
}
