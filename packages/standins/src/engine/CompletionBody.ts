import { z } from "zod";

const DEFAULT_PRIORITY = 5;
const NO_SALT = "0".repeat(64);

/** A part of a message's content; only its text is used. */
const ContentPart = z.object({ text: z.string().default("") });

/** Body of a completion call; only the fields that the engine uses. */
const CompletionBody = z.object({
    model: z.string().min(1),
    messages: z.array(z.object({
        role: z.string(),
        content: z.union([z.string(), z.array(ContentPart)]).nullish(),
    })).optional(),
    prompt: z.string().optional(),
    max_tokens: z.number().int().positive().optional(),
    max_completion_tokens: z.number().int().positive().optional(),
    stream: z.boolean().default(false),
    cache_salt: z.string().default(NO_SALT),
    priority: z.number().int().default(DEFAULT_PRIORITY),
    resume_from: z.number().int().min(0).default(0),
});
type CompletionBody = z.infer<typeof CompletionBody>;

export { CompletionBody };
