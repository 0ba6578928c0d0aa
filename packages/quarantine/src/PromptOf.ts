import type { ModelName, ServiceName } from "@azureshunt/core";

/** A prompt as far as its parts can crash endpoints. */
export type PromptOf = {
    readonly service: ServiceName;
    readonly model: ModelName;
    /** Ids in prompt order; the last part belongs only to this request or its session. */
    readonly parts: readonly { readonly id: string; }[];
};
