/** One event of an event stream. */
type StreamEvent = {
    /** The event as received, including its final blank line. */
    readonly bytes: Buffer;
    /** `undefined` if the event has no id or the id is not an integer. */
    readonly id: number | undefined;
};

const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)$/m;

const eventOf = (bytes: Buffer): StreamEvent => {
    const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
    return { bytes, id: id === undefined ? undefined : Number(id) };
};

/**
 * Creates a splitter of a stream's bytes into complete events. If an endpoint dies in the middle of an event, the
 * partial event is never returned.
 *
 * @returns `push`, which takes the next bytes and returns the events completed by them, and `bufferedBytes`, the number
 *   of bytes of the incomplete event
 */
export function createEventSplitter(): {
    readonly push: (chunk: Buffer) => readonly StreamEvent[];
    readonly bufferedBytes: () => number;
} {
    const buffered: { bytes: Buffer; } = { bytes: Buffer.alloc(0) };
    const takeEvents = (): readonly StreamEvent[] => {
        const end = buffered.bytes.indexOf(EVENT_END);
        if (end < 0) {
            return [];
        }
        const bytes = buffered.bytes.subarray(0, end + EVENT_END.length);
        buffered.bytes = buffered.bytes.subarray(end + EVENT_END.length);
        return [eventOf(bytes), ...takeEvents()];
    };
    const push = (chunk: Buffer): readonly StreamEvent[] => {
        buffered.bytes = buffered.bytes.length === 0 ? chunk : Buffer.concat([buffered.bytes, chunk]);
        return takeEvents();
    };
    return { push, bufferedBytes: () => buffered.bytes.length };
}
