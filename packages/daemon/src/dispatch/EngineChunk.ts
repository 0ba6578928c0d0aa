import { z } from "zod";

/** One event of an engine's stream: one token with its position; the last event holds the finish reason. */
const EngineChunk = z.object({
    id: z.string(),
    position: z.number().int().min(0),
    choices: z.array(z.object({
        delta: z.object({ content: z.string().optional() }).passthrough().optional(),
        text: z.string().optional(),
        finish_reason: z.string().nullish(),
    })).length(1),
    usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }).passthrough().nullish(),
});
type EngineChunk = z.infer<typeof EngineChunk>;

export { EngineChunk };
