import type { Millis } from "@azureshunt/core";

import type { Suspect } from "./Suspect.js";
import type { SuspectKey } from "./SuspectKey.js";

/** What this VM learns about requests and prompt parts that crash endpoints. */
export type CrashEvent =
    /** An endpoint died with these suspects, some time ago; `death` names the endpoint and its incarnation. */
    | {
        readonly kind: "death";
        readonly death: string;
        readonly suspects: readonly Suspect[];
        readonly ageMs: Millis;
    }
    /** An endpoint answered a prompt with this part, and went on serving. */
    | { readonly kind: "answered"; readonly key: SuspectKey; readonly at: Millis; }
    /** Another VM keeps a suspect quarantined for another `forMs`. */
    | { readonly kind: "quarantined"; readonly key: SuspectKey; readonly forMs: Millis; }
    | { readonly kind: "tick"; };
