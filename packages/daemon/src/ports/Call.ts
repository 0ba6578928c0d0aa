import type { KeyId, Millis, OrganisationId, RequestId } from "@azureshunt/core";

import type { ModelCall } from "./ModelCall.js";
import type { ServiceCall } from "./ServiceCall.js";

/** One caller's request, checked and with its key replaced by the organisation that it belongs to. */
export type Call = {
    readonly id: RequestId;
    readonly organisation: OrganisationId;
    readonly keyId: KeyId;
    readonly arrivedAt: Millis;
    /** When work that has not begun must not begin any more. */
    readonly deadline: Millis;
    /** 0 goes first, 9 last. */
    readonly priority: number;
    readonly target: ModelCall | ServiceCall;
    /** Aborted when the caller is gone. */
    readonly signal: AbortSignal;
};
