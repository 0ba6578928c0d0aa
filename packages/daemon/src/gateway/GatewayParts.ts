import type { Refusal, WeightsVersion } from "@azureshunt/core";
import type { Configuration, ModelSpec } from "@azureshunt/release";
import type { Either } from "purify-ts";

import type { DispatchParts } from "../dispatch/DispatchParts.js";
import type { AllowancePort } from "../ports/AllowancePort.js";
import type { Claim } from "../ports/Claim.js";
import type { IntentPort } from "../ports/IntentPort.js";
import type { Caller } from "./Caller.js";

/** Dependencies of the gateway. */
export type GatewayParts = {
    readonly dispatch: DispatchParts;
    readonly allowance: AllowancePort;
    readonly intents: IntentPort;
    /** Returns the caller for an `Authorization` header; Left with `missing-key`, `unknown-key` or `withdrawn-key`. */
    readonly authenticate: (cfg: Configuration, authorization: string | undefined) => Either<Refusal, Caller>;
    /** Returns the weights version of a model for new requests. */
    readonly versionOf: (cfg: Configuration, spec: ModelSpec) => WeightsVersion;
    /** Whether this daemon is shutting down. Requests are still served, and each answer closes its connection. */
    readonly isDraining: () => boolean;
    readonly claim: Claim;
};
