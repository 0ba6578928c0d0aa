/** Field `usage` of an answer in the OpenAI format. */
type Usage = {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number; };
};

/** Creates the `usage` of an answer from its token counts. */
export function usageOf(promptTokens: number, answerTokens: number, cachedTokens: number): Usage {
    return {
        prompt_tokens: promptTokens,
        completion_tokens: answerTokens,
        total_tokens: promptTokens + answerTokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
    };
}
