/**
 * Outcome of one try at an endpoint.
 *
 * - `answered`: the endpoint's complete answer arrived, with any status below 500.
 * - `refused`: the endpoint guaranteed that it did not run the request.
 * - `elsewhere`: another endpoint has the address, or the endpoint holds other weights; the request was not run.
 * - `unreached`: no byte of the request left this VM.
 * - `broken`: the connection ended before the answer was complete.
 * - `silent`: nothing arrived within the time limit.
 * - `failed`: the endpoint answered with an error of its own; it may have run the request.
 * - `garbled`: the data received is not this request's answer.
 * - `moved`: this VM ended the try to continue at another endpoint.
 * - `withheld`: the endpoint said while its connection opened that it wants no requests; none was sent.
 * - `cancelled`: this VM ended the try because the caller left or the time was up.
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
    | "withheld"
    | "cancelled";
