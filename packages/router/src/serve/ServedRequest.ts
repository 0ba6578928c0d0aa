import type { ServerResponse } from "node:http";

import type { Millis, ServiceName } from "@azureshunt/core";

import type { Organisation } from "../configuration/Organisation.js";
import type { Route } from "../configuration/Route.js";
import type { CancelSignal } from "../dispatch/CancelSignal.js";
import type { HeldAccount } from "../flow/HeldAccount.js";
import type { CallerRequest } from "../ports/CallerRequest.js";
import type { CallerOutput } from "./CallerOutput.js";
import type { createRequestNotes } from "./createRequestNotes.js";

/** A request that is being served. */
export type ServedRequest = {
    readonly caller: CallerRequest;
    readonly body: Buffer;
    readonly res: ServerResponse;
    readonly output: CallerOutput;
    /** What this VM buffers for the request. */
    readonly account: HeldAccount;
    readonly route: Route;
    readonly service: ServiceName;
    readonly organisation: Organisation | undefined;
    readonly notes: ReturnType<typeof createRequestNotes>;
    readonly arrivedAt: Millis;
    /** The earlier of the caller's deadline and the route's timeout. */
    readonly deadline: Millis;
    /** The same if the request has waited unread in this VM for as long as it can have; then nothing is sent any more. */
    readonly sendBefore: Millis;
    /** Whether it is sent although recent answers have taken longer than the time left. */
    readonly isProbe: boolean;
    /** Aborted when the caller disconnects or the deadline passes. */
    readonly signal: CancelSignal;
};
