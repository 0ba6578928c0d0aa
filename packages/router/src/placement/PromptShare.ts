import type { Tokens } from "@azureshunt/core";

/** How an endpoint would come by the parts of a prompt that it does not hold. */
export type PromptShare = {
    /** To be read by the endpoint itself. */
    readonly missingTokens: Tokens;
    /** To be fetched from `source`. */
    readonly fetchedTokens: Tokens;
    /** `host:port` of the store or engine that holds more of the prompt; undefined where nothing does. */
    readonly source: string | undefined;
};
