import { refusalOf } from "@azureshunt/core";
import type { Ran, Refusal } from "@azureshunt/core";

import { retryAfterSeconds } from "./retryAfterSeconds.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { StreamProgress } from "./StreamProgress.js";

/**
 * Returns the refusal of a request that is not sent, as no endpoint can answer in the time left.
 *
 * @param ran whether an earlier try of it may have run
 */
export function refusalAsTooLate(
    { clock, overload, metrics }: Pick<ServeParts, "clock" | "overload" | "metrics">,
    served: Pick<ServedRequest, "service" | "route" | "sendBefore">,
    ran: Ran,
    { forwardedEvents }: Pick<StreamProgress, "forwardedEvents">,
): Refusal {
    const { route, sendBefore } = served;
    metrics.count("azureshunt_overload_refusals_total", "Requests refused for overload.", {
        reason: "too-late",
        priority: String(route.priority),
    });
    const detail = `${Math.round(sendBefore - clock.now())} ms left, shortest answer ${
        Math.round(overload.shortestAnswerMs(route))
    } ms, event loop lag ${Math.round(overload.lagMs())} ms`;
    const kind = ran === "no" ? "too-late" : forwardedEvents > 0 ? "stream-broken" : "endpoint-failed";
    return refusalOf(kind, detail, { retryAfterSeconds: retryAfterSeconds({ clock, overload }, served), ran });
}
