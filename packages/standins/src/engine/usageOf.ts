/** The `usage` of an OpenAI answer. */
type Usage = {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly total_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number; };
};

/** Counts the tokens of an answer. */
export function usageOf(promptTokens: number, answerTokens: number, cachedTokens: number): Usage {
    return {
        prompt_tokens: promptTokens,
        completion_tokens: answerTokens,
        total_tokens: promptTokens + answerTokens,
        prompt_tokens_details: { cached_tokens: cachedTokens },
    };
}
