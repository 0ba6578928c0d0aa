import type { DeathReport, RequestFingerprint } from "@azureshunt/request";

/** A change of the state of suspects. */
export type SuspectEvent =
    /** A try broke off; `death` is the id of its endpoint's death, if the endpoint has died. */
    | { readonly kind: "broke"; readonly request: RequestFingerprint; readonly death: string; }
    /** The endpoint has been probed, and its death recorded if it has died. */
    | { readonly kind: "settled"; readonly death: string; }
    /** The VM that gathered a report also sends the others the quarantine that follows from it. */
    | { readonly kind: "death"; readonly report: DeathReport; readonly gatheredHere: boolean; }
    | { readonly kind: "quarantine"; readonly request: RequestFingerprint; readonly remainingMs: number; }
    | { readonly kind: "cleared"; readonly request: RequestFingerprint; };
