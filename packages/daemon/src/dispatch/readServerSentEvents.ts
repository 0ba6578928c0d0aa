const EVENT_END = /\r?\n\r?\n/;
const DATA_LINE = /^data: ?/;

const dataOf = (event: string): string =>
    event.split(/\r?\n/).filter(line => DATA_LINE.test(line)).map(line => line.replace(DATA_LINE, "")).join("\n");

/**
 * Reads the data of each server-sent event of a body. An event that the body breaks off in is not given out.
 *
 * @throws whatever reading the body throws
 */
export async function* readServerSentEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const bytes of body) {
        const events = (rest + decoder.decode(bytes, { stream: true })).split(EVENT_END);
        rest = events.pop() ?? "";
        yield* events.map(dataOf).filter(data => data !== "");
    }
}
