import type { RecordedAnswer } from "./RecordedAnswer.js";

/** What a non-repeatable request with an idempotency key may do. */
export type IntentAdmission =
    | {
        readonly kind: "dispatch";
        /** To be called right before the first byte goes out; false when the intent may no longer be used. */
        readonly begin: () => boolean;
        /** To be called after a try that surely did not run the request; `begin` may then be asked again. */
        readonly notRun: () => void;
        /** To be called with the answer, or with undefined when it may have run and the answer is lost. */
        readonly complete: (answer: RecordedAnswer | undefined) => Promise<void>;
        /** To be called when the request surely has not run. */
        readonly withdraw: () => Promise<void>;
    }
    | { readonly kind: "recorded"; readonly answer: RecordedAnswer; };
