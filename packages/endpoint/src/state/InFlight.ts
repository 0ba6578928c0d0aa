import type { DispatchId, Millis, Tokens } from "@azureshunt/core";

/** One dispatch of this VM that an endpoint has not ended. */
export type InFlight = {
    readonly dispatchId: DispatchId;
    readonly dispatchedAt: Millis;
    /** Tokens of the prompt that the endpoint was expected to compute. */
    readonly prefillTokens: Tokens;
    /** Milliseconds of queue that were expected before the prefill began. */
    readonly expectedWait: Millis;
    /** When the first byte of the answer came; undefined while the endpoint waits or computes the prompt. */
    readonly startedAt: Millis | undefined;
};
