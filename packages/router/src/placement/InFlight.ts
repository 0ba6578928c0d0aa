import type { Millis, Tokens } from "@azureshunt/core";

/** One request that this VM has at an endpoint. */
export type InFlight = {
    readonly sentAt: Millis;
    /** When it should have given a sign of life at the latest. */
    readonly expectedAt: Millis;
    readonly missingTokens: Tokens;
    /** Prompt and answer, as they will lie in the engine's memory. */
    readonly memoryTokens: Tokens;
    /** Whether the answer has begun. */
    readonly isAnswering: boolean;
};
