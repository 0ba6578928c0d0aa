import type { DeathReport, RequestFingerprint } from "@azureshunt/request";

/** What changes what is known of suspects. */
export type SuspectEvent =
    | {
        readonly kind: "death";
        readonly report: DeathReport;
        /** Called once judged, where this VM gathered the report; then it also tells the others what it comes to. */
        readonly judged: (() => void) | undefined;
    }
    | { readonly kind: "quarantine"; readonly request: RequestFingerprint; readonly remainingMs: number; }
    | { readonly kind: "cleared"; readonly request: RequestFingerprint; };
