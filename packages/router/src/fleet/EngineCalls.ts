import type { Millis } from "@azureshunt/core";

import type { CallResult } from "../dispatch/CallResult.js";
import type { EncodedCall } from "../ports/EncodedCall.js";

/** How orders and requests for reports reach engines. */
export type EngineCalls = {
    /** Makes one call to the engine at `address` (`host:port`) and reads its complete answer. */
    readonly call: (address: string, call: EncodedCall, timeoutMs: Millis) => Promise<CallResult>;
    /** Runs a function after a delay. */
    readonly schedule: (delayMs: Millis, run: () => void) => void;
};
