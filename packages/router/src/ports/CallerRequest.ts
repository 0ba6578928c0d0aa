import type { Millis, ModelName, RequestId, Tokens } from "@azureshunt/core";

/** One part of a prompt; requests whose prompts begin with the same parts share them. */
type PromptPart = { readonly id: string; readonly tokens: Tokens; };

/** What a request says of its prompt and of the answer that it wants. */
type PromptInfo = {
    readonly model: ModelName;
    readonly promptTokens: Tokens;
    /** Most tokens of the answer. */
    readonly outputTokens: Tokens;
    /** In order; the last one belongs to this request or its session alone. */
    readonly parts: readonly PromptPart[];
};

/** A caller's request, decoded. */
export type CallerRequest = {
    readonly id: RequestId;
    readonly host: string;
    readonly method: string;
    /** Path and query, as sent. */
    readonly target: string;
    readonly key: string | undefined;
    /** How long the caller waits, from the request's arrival. */
    readonly deadlineMs: Millis | undefined;
    /** Undefined for plain services. */
    readonly prompt: PromptInfo | undefined;
    /** The last event that the caller has of a stream that it resumes. */
    readonly lastEventId: number | undefined;
    /** Headers that go on to the endpoint as they came, names and values by turns. */
    readonly passedHeaders: readonly string[];
};
