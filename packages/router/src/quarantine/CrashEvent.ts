import type { Millis } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

/** What is learnt about requests that crash endpoints. */
export type CrashEvent =
    /** An endpoint died while it ran these requests; `death` names the endpoint and its run. */
    | { readonly kind: "death"; readonly death: string; readonly running: readonly RequestFingerprint[]; }
    /** Another VM stops a request for so much longer. */
    | { readonly kind: "stopped"; readonly request: RequestFingerprint; readonly forMs: Millis; }
    | { readonly kind: "tick"; };
