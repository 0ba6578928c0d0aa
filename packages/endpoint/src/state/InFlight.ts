import type { DispatchId, Millis, Tokens } from "@azureshunt/core";

/** One dispatch of this VM that an endpoint has not ended. */
export type InFlight = {
    readonly dispatchId: DispatchId;
    readonly dispatchedAt: Millis;
    /** Tokens of the prompt that the endpoint was expected to compute. */
    readonly prefillTokens: Tokens;
    /** Tokens that stood before it at the endpoint, as estimated. */
    readonly backlogTokens: Tokens;
    /** Whether the endpoint has said how much it computes. */
    readonly accepted: boolean;
    /** When the first token came; undefined while the request waits or its prompt is computed. */
    readonly startedAt: Millis | undefined;
};
