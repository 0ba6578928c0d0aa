import type { Refusal } from "@azureshunt/core";
import type { RequestState } from "@azureshunt/request";
import type { Either } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { TryEnd } from "./TryEnd.js";

/** Decides, for all requests of the daemon together, whether a failed try is followed by another. */
export type Tries = {
    /** The state of a request that arrives. */
    readonly arrive: (call: Call) => RequestState;
    /** The state in which the request is tried again, or the refusal that its caller gets now. */
    readonly after: (request: RequestState, end: TryEnd) => Either<Refusal, RequestState>;
};
