import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** Returns the time until which a request is quarantined, or `undefined` if it is not. */
export function quarantinedUntil(
    state: SuspectState,
    request: RequestFingerprint,
    now: Millis,
): Millis | undefined {
    const until = state.quarantined.get(request);
    return until !== undefined && until > now ? until : undefined;
}
