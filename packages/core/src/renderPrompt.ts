/** One message of a chat, as the OpenAI calls have it. */
type ChatMessage = {
    readonly role: string;
    readonly content: string;
};

/** Renders a chat into the text that an engine reads. Piece hashes are taken of this text. */
export function renderPrompt(messages: readonly ChatMessage[]): string {
    return messages.map(message => `<${message.role}>\n${message.content}\n`).join("");
}
