import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PlacementPort } from "../ports/PlacementPort.js";
import type { SuspectPort } from "../ports/SuspectPort.js";
import type { TracePort } from "../ports/TracePort.js";
import type { EndpointConnections } from "./EndpointConnections.js";
import type { Tries } from "./Tries.js";

/** What sending requests to endpoints needs. */
export type DispatchParts = {
    readonly ctx: DaemonContext;
    readonly placement: PlacementPort;
    readonly suspects: SuspectPort;
    readonly connections: EndpointConnections;
    readonly tries: Tries;
    readonly trace: TracePort;
    /** Checks again, right before each try, that the call's key is still valid. */
    readonly recheck: (call: Call) => Either<Refusal, Call>;
};
