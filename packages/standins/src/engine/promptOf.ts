import type { CompletionBody } from "./CompletionBody.js";
import { renderMessages } from "./renderMessages.js";

type Message = NonNullable<CompletionBody["messages"]>[number];

const textOf = (content: Message["content"]): string =>
    typeof content === "string" ? content : (content ?? []).map(({ text }) => text).join("");

/** Returns the prompt of a completion call as bytes. */
export function promptOf(body: CompletionBody): Buffer {
    const messages = body.messages?.map(({ role, content }) => ({ role, content: textOf(content) }));
    return Buffer.from(messages === undefined ? body.prompt ?? "" : renderMessages(messages));
}
