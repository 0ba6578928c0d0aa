import type { Millis } from "@azureshunt/core";

/** What changes how old the known entries can be. */
export type RegistryEvidenceEvent =
    /** This VM read the registry; the read was sent at `askedAt`. */
    | { readonly kind: "read"; readonly askedAt: Millis; }
    /** Another VM told which entries it knew as of some moment; `stampedAt` is this VM's own time stamp behind it. */
    | { readonly kind: "told"; readonly isSame: boolean; readonly asOf: Millis; readonly stampedAt: Millis; }
    /** The process was suspended. */
    | { readonly kind: "paused"; readonly now: Millis; };
