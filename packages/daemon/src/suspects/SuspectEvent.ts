import type { DeathReport, RequestFingerprint } from "@azureshunt/request";

/** What changes what is known of suspects. */
export type SuspectEvent =
    /** A try broke off; `death` is what it would be if its endpoint has died. */
    | {
        readonly kind: "broke";
        readonly request: RequestFingerprint;
        readonly death: string;
        readonly noted: () => void;
    }
    /** It is known whether the endpoint has died, and if so, the death is noted. */
    | { readonly kind: "settled"; readonly death: string; readonly noted: () => void; }
    | {
        readonly kind: "death";
        readonly report: DeathReport;
        /** Called once noted, where this VM gathered the report; then it also tells the others what it comes to. */
        readonly noted: (() => void) | undefined;
    }
    | { readonly kind: "quarantine"; readonly request: RequestFingerprint; readonly remainingMs: number; }
    | { readonly kind: "cleared"; readonly request: RequestFingerprint; };
