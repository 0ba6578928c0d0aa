import type { DispatchId, Millis, Tokens } from "@azureshunt/core";

/** A dispatch of this VM that has not ended. */
export type InFlight = {
    readonly dispatchId: DispatchId;
    readonly dispatchedAt: Millis;
    /** Uncached prompt tokens; an estimate until `accepted`. */
    readonly prefillTokens: Tokens;
    /** Estimated prompt tokens that the endpoint had to prefill before this dispatch. */
    readonly backlogTokens: Tokens;
    /** Whether the endpoint accepted the request, with the prompt tokens that it computes if it reported them. */
    readonly accepted: boolean;
    /** `undefined` until the first token, while the request waits or is in prefill. */
    readonly firstTokenAt: Millis | undefined;
};
