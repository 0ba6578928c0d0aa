import type { TryOutcome } from "../dispatch/TryOutcome.js";

/** What one try came to. */
export type TryResult = {
    readonly kind: TryOutcome;
    /** The endpoint's whole answer, where there is one that can go to the caller. */
    readonly answer: {
        readonly status: number;
        readonly headers: readonly string[];
        readonly body: Buffer;
    } | undefined;
};
