import type { Tokens } from "@azureshunt/core";

/** An endpoint's load now, as estimated from own dispatches and the last report. */
export type EndpointLoad = {
    /** Requests running or waiting. */
    readonly requests: number;
    /** Tokens of prompts that are waiting or being computed. */
    readonly prefillTokens: Tokens;
};
