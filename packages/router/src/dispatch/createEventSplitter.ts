import { createByteQueue } from "@azureshunt/http";

/** What one read of a stream has completed. */
type CompletedEvents = {
    /** Whole accepted events, as received; several parts if the first of them began in earlier reads. */
    readonly parts: readonly Buffer[];
    readonly events: number;
    /** Whether an event was not accepted; it and what follows is left out. */
    readonly isRejected: boolean;
    /** Whether an event with more than blank lines was completed. */
    readonly hasContent: boolean;
};

type EventSplitter = {
    /** @param accept called with each event's id, in order; `undefined` if it has none that is an integer */
    readonly push: (chunk: Buffer, accept: (id: number | undefined) => boolean) => CompletedEvents;
    /** Number of bytes of the incomplete event. */
    readonly bufferedBytes: () => number;
};

const EVENT_END = Buffer.from("\n\n");
const NOTHING: CompletedEvents = { parts: [], events: 0, isRejected: false, hasContent: false };
const NEW_LINE = 10;
const RETURN = 13;
const ID_LINE = /^id: ?(\d+)$/;
/** Longer than any line that names an integer as id. */
const MAX_ID_LINE_BYTES = 64;
const LETTER_I = 105;
const LETTER_D = 100;
const COLON = 58;
/** A part of a read that is kept keeps the memory of all of it; smaller parts than this are copied. */
const MIN_KEPT_FRACTION = 0.25;

const isLineEnd = (byte: number | undefined): boolean => byte === NEW_LINE || byte === RETURN;

/**
 * Creates a splitter of a stream's bytes into complete events. If an endpoint dies in the middle of an event, the
 * partial event is never returned. Each byte is searched once, however long an event becomes, and copied only if it is
 * a small part of a read that has to be kept.
 */
export function createEventSplitter(): EventSplitter {
    const queue = createByteQueue();
    const kept = { endsLine: false };
    /** The event's id as far as it has been read, and the line that the last read left incomplete. */
    const reading = { id: undefined as number | undefined, line: "", hasContent: false };

    const readLine = (line: string): void => {
        const id = ID_LINE.exec(line)?.[1];
        if (id !== undefined && reading.id === undefined) {
            reading.id = Number(id);
        }
    };
    /** Reads the lines of a part of an event; its last line may be incomplete. */
    const readLines = (bytes: Buffer, start: number, end: number): void => {
        for (let at = start; at < end;) {
            const newLine = bytes.indexOf(NEW_LINE, at);
            const lineEnd = newLine < 0 || newLine >= end ? end : newLine;
            reading.hasContent ||= lineEnd > at;
            const isCandidate = reading.line !== "" || lineEnd === end
                || (bytes[at] === LETTER_I && bytes[at + 1] === LETTER_D && bytes[at + 2] === COLON);
            if (reading.id === undefined && isCandidate && reading.line.length < MAX_ID_LINE_BYTES) {
                const isTooLong = lineEnd - at > MAX_ID_LINE_BYTES;
                const textEnd = lineEnd > at && isLineEnd(bytes[lineEnd - 1]) ? lineEnd - 1 : lineEnd;
                reading.line += isTooLong ? "x".repeat(MAX_ID_LINE_BYTES) : bytes.toString("latin1", at, textEnd);
            }
            if (lineEnd < end) {
                readLine(reading.line);
                reading.line = "";
            }
            at = lineEnd + 1;
            if (reading.id !== undefined && reading.hasContent) {
                return;
            }
        }
    };
    const keep = (bytes: Buffer): void => {
        if (bytes.length > 0) {
            const isSmall = bytes.length < bytes.buffer.byteLength * MIN_KEPT_FRACTION;
            queue.add(isSmall ? Buffer.from(bytes) : bytes);
            kept.endsLine = bytes[bytes.length - 1] === NEW_LINE;
        }
    };
    const endOf = (chunk: Buffer, start: number): number => {
        if (start === 0 && kept.endsLine && chunk[0] === NEW_LINE) {
            return 1;
        }
        const end = chunk.indexOf(EVENT_END, start);
        return end < 0 ? -1 : end + EVENT_END.length;
    };
    const push: EventSplitter["push"] = (chunk, accept) => {
        let start = 0;
        let events = 0;
        let hasContent = false;
        let isRejected = false;
        for (let end = endOf(chunk, 0); end >= 0; end = endOf(chunk, start)) {
            readLines(chunk, start, end);
            const { id } = reading;
            hasContent ||= reading.hasContent;
            reading.id = undefined;
            reading.line = "";
            reading.hasContent = false;
            if (!accept(id)) {
                isRejected = true;
                break;
            }
            events += 1;
            start = end;
        }
        const parts = events === 0
            ? NOTHING.parts
            : [...queue.takeAll(), start === chunk.length ? chunk : chunk.subarray(0, start)];
        if (events > 0 || isRejected) {
            queue.takeAll();
            kept.endsLine = false;
        }
        if (!isRejected && start < chunk.length) {
            readLines(chunk, start, chunk.length);
            keep(start === 0 ? chunk : chunk.subarray(start));
        }
        return events === 0 && !isRejected ? NOTHING : { parts, events, isRejected, hasContent };
    };
    return { push, bufferedBytes: queue.bytes };
}
