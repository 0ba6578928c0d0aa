import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PlacementPort } from "../ports/PlacementPort.js";
import type { SuspectPort } from "../ports/SuspectPort.js";
import type { TracePort } from "../ports/TracePort.js";
import type { EndpointConnections } from "./EndpointConnections.js";
import type { RetryPolicy } from "./RetryPolicy.js";

/** Dependencies of request dispatch. */
export type DispatchParts = {
    readonly ctx: DaemonContext;
    readonly placement: PlacementPort;
    readonly suspects: SuspectPort;
    readonly connections: EndpointConnections;
    readonly tries: RetryPolicy;
    readonly trace: TracePort;
    /** Checks that the call's key is still valid; called right before each try. Left with `withdrawn-key`. */
    readonly recheck: (call: Call) => Either<Refusal, Call>;
};
