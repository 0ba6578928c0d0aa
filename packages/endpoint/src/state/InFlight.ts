import type { DispatchId, Millis, Tokens } from "@azureshunt/core";

/** One dispatch of this VM that an endpoint has not ended. */
export type InFlight = {
    readonly dispatchId: DispatchId;
    readonly dispatchedAt: Millis;
    /** Tokens of the prompt that the endpoint was expected to compute. */
    readonly prefillTokens: Tokens;
    /** Milliseconds of queue that were expected before the prefill began. */
    readonly expectedWait: Millis;
    /** Whether the endpoint has said how much it computes. */
    readonly accepted: boolean;
    /** When the first token came; undefined while the request waits or its prompt is computed. */
    readonly startedAt: Millis | undefined;
};
