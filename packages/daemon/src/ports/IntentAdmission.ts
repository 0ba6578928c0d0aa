import type { RecordedAnswer } from "./RecordedAnswer.js";

/** What a non-repeatable request with an idempotency key may do. */
export type IntentAdmission =
    | {
        readonly kind: "dispatch";
        /** To be called right before the first byte goes out; false when the intent may no longer be used. */
        readonly begin: () => boolean;
        /** To be called with the answer, or with undefined when it may have run and the answer is lost. */
        readonly complete: (answer: RecordedAnswer | undefined) => Promise<void>;
        /** To be called instead of `begin` when no byte went out. */
        readonly withdraw: () => Promise<void>;
    }
    | { readonly kind: "recorded"; readonly answer: RecordedAnswer; };
