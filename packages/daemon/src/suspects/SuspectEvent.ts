import type { DeathReport, RequestFingerprint } from "@azureshunt/request";

/** What changes what is known of suspects. */
export type SuspectEvent =
    | { readonly kind: "death"; readonly report: DeathReport; readonly judged: () => void; }
    | { readonly kind: "quarantine"; readonly request: RequestFingerprint; readonly remainingMs: number; }
    | { readonly kind: "cleared"; readonly request: RequestFingerprint; };
