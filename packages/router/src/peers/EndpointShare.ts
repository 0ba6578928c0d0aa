import type { Tokens } from "@azureshunt/core";

/** What one VM runs at one endpoint. */
export type EndpointShare = {
    readonly running: number;
    readonly waitingTokens: Tokens;
    readonly memoryTokens: Tokens;
};
