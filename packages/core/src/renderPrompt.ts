/** Message of a chat in the OpenAI API. */
type ChatMessage = {
    readonly role: string;
    readonly content: string;
};

/** Renders a chat as the prompt text of an engine. Piece hashes are computed from this text. */
export function renderPrompt(messages: readonly ChatMessage[]): string {
    return messages.map(message => `<${message.role}>\n${message.content}\n`).join("");
}
