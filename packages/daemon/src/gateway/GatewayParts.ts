import type { Refusal, WeightsVersion } from "@azureshunt/core";
import type { Configuration, ModelSpec } from "@azureshunt/release";
import type { Either } from "purify-ts";

import type { DispatchParts } from "../dispatch/DispatchParts.js";
import type { AllowancePort } from "../ports/AllowancePort.js";
import type { IntentPort } from "../ports/IntentPort.js";
import type { Caller } from "./Caller.js";

/** What serving callers needs. */
export type GatewayParts = {
    readonly dispatch: DispatchParts;
    readonly allowance: AllowancePort;
    readonly intents: IntentPort;
    /** Finds out whose key came with a request; Left with `missing-key`, `unknown-key` or `withdrawn-key`. */
    readonly authenticate: (cfg: Configuration, authorization: string | undefined) => Either<Refusal, Caller>;
    /** The version of a model that new requests get. */
    readonly versionOf: (cfg: Configuration, spec: ModelSpec) => WeightsVersion;
    /** Whether this daemon is stopping; requests are still served, and each answer closes its connection. */
    readonly isDraining: () => boolean;
};
