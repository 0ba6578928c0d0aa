import type { KeyId, Millis, OrganisationId, RequestId } from "@azureshunt/core";

import type { ModelCall } from "./ModelCall.js";
import type { ServiceCall } from "./ServiceCall.js";

/** One caller's validated request, with the key resolved to its id and organisation. */
export type Call = {
    readonly id: RequestId;
    readonly organisation: OrganisationId;
    readonly keyId: KeyId;
    readonly arrivedAt: Millis;
    /** Time after which work that has not started must not start. */
    readonly deadline: Millis;
    /** From 0, the highest, to 9, the lowest. */
    readonly priority: number;
    readonly target: ModelCall | ServiceCall;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
};
