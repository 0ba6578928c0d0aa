import type { Dispatcher } from "undici";

import type { Arrival } from "../workload/Arrival.js";
import type { LoadTarget } from "./LoadTarget.js";
import type { Outcome } from "./Outcome.js";

type ErrorBody = { readonly error?: { readonly code?: string; readonly ran?: string; }; };

/**
 * Sends one call of the plain service, with an idempotency key if it must not be repeated.
 *
 * @throws Error if the connection fails
 */
export async function sendServiceRequest(
    dispatcher: Dispatcher,
    target: LoadTarget,
    arrival: Arrival,
): Promise<Pick<Outcome, "status" | "errorCode" | "ran" | "complete" | "tokens">> {
    const isBooking = arrival.kind === "booking";
    const path = isBooking ? target.bookingPath : target.lookupPath;
    const answer = await dispatcher.request({
        origin: target.daemons[arrival.daemon] ?? "",
        path: `/v1/services/${target.service}${path}`,
        method: isBooking ? "POST" : "GET",
        headers: {
            "authorization": `Bearer ${target.keyOf(arrival.organisation)}`,
            ...isBooking
                ? { "idempotency-key": `${arrival.organisation}-${arrival.id}`, "content-type": "application/json" }
                : {},
        },
        body: isBooking ? "{}" : null,
    });
    const text = await answer.body.text();
    const complete = answer.statusCode === 200;
    const error = complete ? undefined : (JSON.parse(text || "{}") as ErrorBody).error;
    return {
        status: answer.statusCode,
        errorCode: complete ? undefined : error?.code ?? "unknown",
        ran: error?.ran,
        complete,
        tokens: 0,
    };
}
