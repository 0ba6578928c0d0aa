import type { Millis } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

/** What this VM learns about requests that crash endpoints. */
export type CrashEvent =
    /** An endpoint died while it ran these requests; `death` names the endpoint and its incarnation. */
    | { readonly kind: "death"; readonly death: string; readonly running: readonly RequestFingerprint[]; }
    /** Another VM keeps a request quarantined for another `forMs`. */
    | { readonly kind: "quarantined"; readonly request: RequestFingerprint; readonly forMs: Millis; }
    | { readonly kind: "tick"; };
