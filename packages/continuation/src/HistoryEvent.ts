import type { Millis } from "@azureshunt/core";

/** What changes what is known of a service's software versions. */
export type HistoryEvent =
    /** Entries of these versions are registered; `ageMs` is how long at least their oldest endpoint has been running. */
    | {
        readonly kind: "registered";
        readonly versions: readonly (readonly [string | undefined, Millis])[];
    }
    /** The registry is current, and all that it has held since `since` is known here. */
    | { readonly kind: "current"; readonly since: Millis; }
    /** The registry may have changed unnoticed. */
    | { readonly kind: "outdated"; }
    /** A peer states its history: `coveredMs` it goes back, and how long ago each version was first and last known. */
    | {
        readonly kind: "stated";
        readonly askedAt: Millis;
        readonly coveredMs: Millis;
        readonly versions: readonly (readonly [string | undefined, Millis, Millis])[];
    };
