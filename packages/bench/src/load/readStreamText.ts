import type { StreamReading } from "./StreamReading.js";

const DATA_PREFIX = "data: ";
const END_MARK = "[DONE]";

type Chunk = {
    readonly position?: number;
    readonly choices?: readonly unknown[];
    readonly error?: { readonly code?: string; readonly ran?: string; };
};

const readData = (reading: StreamReading, data: string): StreamReading => {
    if (data === END_MARK) {
        return { ...reading, done: true };
    }
    const chunk = JSON.parse(data) as Chunk;
    if (chunk.error !== undefined) {
        return { ...reading, errorCode: chunk.error.code ?? "unknown", ran: chunk.error.ran };
    }
    const isNext = chunk.position === undefined || chunk.position === reading.nextPosition;
    return { ...reading, nextPosition: reading.nextPosition + 1, inOrder: reading.inOrder && isNext };
};

/** Continues reading a stream of server-sent events with its next text, which may end anywhere. */
export function readStreamText(reading: StreamReading, text: string): StreamReading {
    const lines = (reading.partialLine + text).split("\n");
    const partialLine = lines.at(-1) ?? "";
    return lines
        .slice(0, -1)
        .filter(line => line.startsWith(DATA_PREFIX))
        .map(line => line.slice(DATA_PREFIX.length))
        .reduce(readData, { ...reading, partialLine });
}
