import type { RecordedAnswer } from "./RecordedAnswer.js";

/**
 * How a request that may not be repeated and has an idempotency key is served. `dispatch`: under an intent of this
 * process; `recorded`: with the answer that the log has.
 */
export type IntentAdmission =
    | {
        readonly kind: "dispatch";
        /** Called right before the first byte is sent; returns false if the intent may no longer be used. */
        readonly begin: () => boolean;
        /** Called after a try that certainly did not run the request; `begin` may then be called again. */
        readonly notRun: () => void;
        /** Called with the answer, or with undefined if the request may have run and its answer is lost. */
        readonly complete: (answer: RecordedAnswer | undefined) => Promise<void>;
        /** Called if the request certainly has not run. */
        readonly withdraw: () => Promise<void>;
    }
    | { readonly kind: "recorded"; readonly answer: RecordedAnswer; };
