import type { Tokens } from "@azureshunt/core";

/** Load of one VM's requests at one endpoint. */
export type EndpointShare = {
    readonly running: number;
    readonly waitingTokens: Tokens;
    readonly memoryTokens: Tokens;
};
