import type { Refusal } from "@azureshunt/core";

/**
 * Why a try did not bring the whole answer.
 *
 * - `unreached`: no byte of the request left this daemon.
 * - `refused`: the endpoint said that it did not run the request; `full` when it was for want of room.
 * - `failed`: the endpoint answered with an error of its own and may have run the request.
 * - `died`: the connection broke after the request went out.
 * - `silent`: nothing came within the idle bound.
 * - `gap`: a piece of the stream was missing.
 * - `crossed`: the answer was to another request.
 * - `stopped`: this daemon ended the request, for the refusal's reason; repeating it is out of the question.
 * - `unplaced`: no endpoint was found for the try.
 */
export type TryFailure =
    | { readonly kind: "unreached" | "failed" | "died" | "silent" | "gap" | "crossed"; }
    | { readonly kind: "refused"; readonly full: boolean; }
    | { readonly kind: "stopped" | "unplaced"; readonly refusal: Refusal; };
