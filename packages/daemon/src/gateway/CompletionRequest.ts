import { z } from "zod";

const MAX_OUTPUT_TOKENS = 1_000_000;

/** Body of `POST /v1/completions`; fields that the daemon does not read are forwarded unchanged. */
const CompletionRequest = z.object({
    model: z.string().min(1),
    prompt: z.union([z.string(), z.array(z.string()).length(1).transform(prompts => prompts.join(""))]),
    max_tokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).nullish(),
    stream: z.boolean().nullish(),
    n: z.literal(1, { message: "only one choice is served" }).nullish(),
}).passthrough();
type CompletionRequest = z.infer<typeof CompletionRequest>;

export { CompletionRequest };
