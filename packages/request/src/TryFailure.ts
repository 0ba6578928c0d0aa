import type { Refusal } from "@azureshunt/core";

/**
 * Why a try did not return the complete answer.
 *
 * - `unreached`: no byte of the request left this process.
 * - `refused`: the endpoint said that it did not run the request; `full` if it had no capacity.
 * - `failed`: the endpoint answered with an error and may have run the request.
 * - `died`: the connection broke after the request was sent.
 * - `silent`: nothing was received within the idle timeout.
 * - `gap`: a piece of the stream was missing.
 * - `crossed`: the answer belonged to another request.
 * - `stopped`: this process ended the request, for the reason in `refusal`; it must not be retried.
 * - `unplaced`: no endpoint was found for the try.
 */
export type TryFailure =
    | { readonly kind: "unreached" | "failed" | "died" | "silent" | "gap" | "crossed"; }
    | { readonly kind: "refused"; readonly full: boolean; }
    | { readonly kind: "stopped" | "unplaced"; readonly refusal: Refusal; };
