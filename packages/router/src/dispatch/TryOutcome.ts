/**
 * How one try at an endpoint ended.
 *
 * - `answered`: the endpoint's whole answer came, whatever its status below 500.
 * - `refused`: the endpoint said that it did not run the request.
 * - `elsewhere`: another endpoint has the address, or it holds other weights; not run.
 * - `unreached`: no byte of the request left this VM.
 * - `broken`: the connection ended before the whole answer.
 * - `silent`: nothing came within the time given.
 * - `failed`: the endpoint's own error; it may have run the request.
 * - `garbled`: what came is not this request's answer.
 * - `moved`: this VM ended the try, to go on at another endpoint.
 * - `cancelled`: this VM ended the try, as the caller left or the time was up.
 */
export type TryOutcome =
    | "answered"
    | "refused"
    | "elsewhere"
    | "unreached"
    | "broken"
    | "silent"
    | "failed"
    | "garbled"
    | "moved"
    | "cancelled";
