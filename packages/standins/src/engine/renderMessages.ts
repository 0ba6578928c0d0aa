/** One message of a chat. */
type Message = { readonly role: string; readonly content: string; };

/** Renders a chat as the text whose pieces are hashed. */
export function renderMessages(messages: readonly Message[]): string {
    return messages.map(({ role, content }) => `<${role}>\n${content}\n`).join("");
}
