import type { Refusal } from "@azureshunt/core";
import type { RequestState } from "@azureshunt/request";
import type { Either } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { TryEnd } from "./TryEnd.js";

/** Decides whether a failed try is followed by a retry; the retry budget is shared by all requests of the daemon. */
export type RetryPolicy = {
    /** Returns the initial state of a request and adds its share to the retry budget. */
    readonly onArrival: (call: Call) => RequestState;
    /** Returns the state to retry the request with, or Left with the refusal to answer the caller with. */
    readonly afterFailure: (request: RequestState, end: TryEnd) => Either<Refusal, RequestState>;
};
