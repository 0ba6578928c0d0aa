import { z } from "zod";

const MAX_OUTPUT_TOKENS = 1_000_000;

const TextPart = z.object({ type: z.literal("text"), text: z.string() });

const Message = z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: z.union([z.string(), z.array(TextPart)]).transform(content =>
        typeof content === "string" ? content : content.map(part => part.text).join("")
    ),
}).passthrough();

/** Body of `POST /v1/chat/completions`; fields that the daemon does not read are forwarded unchanged. */
const ChatRequest = z.object({
    model: z.string().min(1),
    messages: z.array(Message).min(1),
    max_tokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).nullish(),
    max_completion_tokens: z.number().int().positive().max(MAX_OUTPUT_TOKENS).nullish(),
    stream: z.boolean().nullish(),
    n: z.literal(1, { message: "only one choice is served" }).nullish(),
}).passthrough();
type ChatRequest = z.infer<typeof ChatRequest>;

export { ChatRequest };
