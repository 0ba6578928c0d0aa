const EVENT_END = /\r?\n\r?\n/;
/** Far more than an event of an engine has. */
const MAX_EVENT_CHARS = 1024 * 1024;
const DATA_LINE = /^data: ?/;

const dataOf = (event: string): string =>
    event.split(/\r?\n/).filter(line => DATA_LINE.test(line)).map(line => line.replace(DATA_LINE, "")).join("\n");

/**
 * Yields the data of each server-sent event of a body. An event that is cut off by the end of the body is dropped.
 *
 * The endpoint decides where an event ends. One that never ends would fill the memory, so its length has a bound.
 *
 * @throws any error of reading the body
 * @throws Error if an event is longer than the bound
 */
export async function* readServerSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const bytes of body) {
        const events = (rest + decoder.decode(bytes, { stream: true })).split(EVENT_END);
        rest = events.pop() ?? "";
        yield* events.map(dataOf).filter(data => data !== "");
        if (rest.length > MAX_EVENT_CHARS) {
            throw new Error("an event of the endpoint has no end");
        }
    }
}
