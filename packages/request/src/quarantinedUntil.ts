import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** Until when a request is quarantined; undefined when it may run. */
export function quarantinedUntil(
    state: SuspectState,
    request: RequestFingerprint,
    now: Millis,
): Millis | undefined {
    const until = state.quarantined.get(request);
    return until !== undefined && until > now ? until : undefined;
}
