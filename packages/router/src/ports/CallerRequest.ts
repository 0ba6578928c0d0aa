import type { Millis, ModelName, RequestId, Tokens } from "@azureshunt/core";

/** One part of a prompt. Requests whose prompts begin with the same parts can share their cached state. */
type PromptPart = { readonly id: string; readonly tokens: Tokens; };

/** Prompt and expected answer of a request to a model. */
type PromptInfo = {
    readonly model: ModelName;
    readonly promptTokens: Tokens;
    /** Maximum number of tokens in the answer. */
    readonly outputTokens: Tokens;
    /** In prompt order. The last part belongs only to this request or its session. */
    readonly parts: readonly PromptPart[];
};

/** Decoded request of a caller. */
export type CallerRequest = {
    readonly id: RequestId;
    readonly host: string;
    readonly method: string;
    /** Path and query, as sent. */
    readonly target: string;
    readonly key: string | undefined;
    /** How long the caller waits, measured from the request's arrival. */
    readonly deadlineMs: Millis | undefined;
    /** `undefined` for services without a model. */
    readonly prompt: PromptInfo | undefined;
    /** Tokens of prompt and answer that the request states, with or without a model; `undefined` if it states none. */
    readonly statedTokens: Tokens | undefined;
    /** Id of the last event that the caller received of a stream that it resumes. */
    readonly lastEventId: number | undefined;
    /** Id of the caller's attempt that brought the first event of that stream; `undefined` if the caller names none. */
    readonly begunBy: RequestId | undefined;
    /** Headers forwarded to the endpoint unchanged, as alternating names and values. */
    readonly forwardedHeaders: readonly string[];
};
