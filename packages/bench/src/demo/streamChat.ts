import { request } from "undici";

const CALL_TIMEOUT_MS = 30_000;

/** Result of one streamed chat. */
type StreamedChat = {
    readonly status: number;
    /** Milliseconds to the first token; `undefined` if there was none. */
    readonly firstTokenMs: number | undefined;
    readonly tokens: number;
    readonly text: string;
    /** Whether the stream ended with `[DONE]`. */
    readonly complete: boolean;
    readonly requestId: string;
};

/**
 * Sends a streamed chat and reads it to its end.
 *
 * @param caller base URL of a daemon's listener for callers
 * @throws Error if the connection breaks
 */
export async function streamChat(
    caller: string,
    key: string,
    model: string,
    messages: readonly { readonly role: string; readonly content: string; }[],
    maxTokens: number,
): Promise<StreamedChat> {
    const startedAt = performance.now();
    const res = await request(`${caller}/v1/chat/completions`, {
        method: "POST",
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: { "content-type": "application/json", "authorization": `Bearer ${key}` },
        body: JSON.stringify({ model, messages, max_tokens: maxTokens, stream: true }),
    });
    const received: { firstTokenMs: number | undefined; raw: string; } = { firstTokenMs: undefined, raw: "" };
    for await (const bytes of res.body as AsyncIterable<Buffer>) {
        received.firstTokenMs ??= performance.now() - startedAt;
        received.raw += bytes.toString("utf8");
    }
    const events = received.raw.split("\n\n").filter(event => event.startsWith("data: ")).map(event => event.slice(6));
    const chunks = events.filter(event => event !== "[DONE]").map(event =>
        JSON.parse(event) as { readonly choices?: readonly { readonly delta?: { readonly content?: string; }; }[]; }
    );
    return {
        status: res.statusCode,
        firstTokenMs: res.statusCode === 200 ? received.firstTokenMs : undefined,
        tokens: chunks.length,
        text: chunks.map(chunk => chunk.choices?.[0]?.delta?.content ?? "").join(""),
        complete: events.at(-1) === "[DONE]",
        requestId: String(res.headers["x-request-id"] ?? ""),
    };
}
