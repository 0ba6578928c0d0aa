import type { DeathReport, RequestFingerprint } from "@azureshunt/request";

/** What changes what is known of suspects. */
export type SuspectEvent =
    /** A try broke off; `death` is what it would be if its endpoint has died. */
    | { readonly kind: "broke"; readonly request: RequestFingerprint; readonly death: string; }
    /** It is known whether the endpoint has died, and if so, the death is noted. */
    | { readonly kind: "settled"; readonly death: string; }
    /** The VM that gathered a report also tells the others what it comes to. */
    | { readonly kind: "death"; readonly report: DeathReport; readonly gatheredHere: boolean; }
    | { readonly kind: "quarantine"; readonly request: RequestFingerprint; readonly remainingMs: number; }
    | { readonly kind: "cleared"; readonly request: RequestFingerprint; };
