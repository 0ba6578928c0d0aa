/** One event of a stream, as the bytes that carry it. */
type StreamEvent = {
    readonly bytes: Buffer;
    /** The event's id; undefined where it has none or no whole number. */
    readonly id: number | undefined;
};

const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)$/m;

const eventOf = (bytes: Buffer): StreamEvent => {
    const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
    return { bytes, id: id === undefined ? undefined : Number(id) };
};

/**
 * Cuts a stream's bytes into whole events. An endpoint that dies in the middle of an event leaves a part that nobody is
 * given.
 *
 * @returns a function from the next bytes to the events that are whole now, and one to the bytes that are left over
 */
export function createEventSplitter(): {
    readonly push: (chunk: Buffer) => readonly StreamEvent[];
    readonly rest: () => number;
} {
    const held: { bytes: Buffer; } = { bytes: Buffer.alloc(0) };
    const takeNext = (): readonly StreamEvent[] => {
        const end = held.bytes.indexOf(EVENT_END);
        if (end < 0) {
            return [];
        }
        const bytes = held.bytes.subarray(0, end + EVENT_END.length);
        held.bytes = held.bytes.subarray(end + EVENT_END.length);
        return [eventOf(bytes), ...takeNext()];
    };
    const push = (chunk: Buffer): readonly StreamEvent[] => {
        held.bytes = held.bytes.length === 0 ? chunk : Buffer.concat([held.bytes, chunk]);
        return takeNext();
    };
    return { push, rest: () => held.bytes.length };
}
