/** Merges small chunks before they are parsed. */
type ChunkMerger = {
    /** Returns what is to be parsed in place of the next bytes, whose memory it may use; a small chunk waits until it is whole. */
    readonly merge: (bytes: Buffer) => readonly Buffer[];
};

/** `small` and `large`: the chunk's line has been read; `part`: bytes of it are to come; `other`: it is not a plain chunk. */
type ChunkKind = "small" | "large" | "part" | "other";

/** Larger chunks are passed on as they are. */
const MAX_SMALL_BYTES = 255;
const MAX_DIGITS = 8;
const HEX = 16;
const LF = 10;
const CR = 13;
const END_BYTES = 2;
const NOTHING = Buffer.alloc(0);
const END = Buffer.from("\r\n", "latin1");
const NO_DIGIT = 16;
/** By the code of a character, the digit that it is. */
const DIGITS = Uint8Array.from({ length: 256 }, (_, code) => {
    const digit = "0123456789abcdef".indexOf(String.fromCharCode(code).toLowerCase());
    return digit < 0 ? NO_DIGIT : digit;
});

/** Returns data as one chunk. What is kept of it must not keep a read many times its size. */
const merged = (data: Buffer): readonly Buffer[] => [
    Buffer.from(`${data.length.toString(HEX)}\r\n`, "latin1"),
    2 * data.length < data.buffer.byteLength ? Buffer.from(data) : data,
    END,
];

/**
 * Creates a merger of the small chunks of one body, whose bytes it gets from its first chunk on.
 *
 * The parser takes as long for a chunk as for some hundred bytes. Symptom: a few bodies in chunks of a byte use up a VM's CPU
 * time. To prevent this, whole small chunks in a row are parsed as one. What is not exactly a length, data and the ends of both
 * lines, as the last chunk, an extension and what is not valid, goes to the parser as it came, and so does all that follows: the
 * parser alone decides what is valid, and where a body ends.
 */
export function createChunkMerger(): ChunkMerger {
    const state = {
        /** The beginning of a small chunk. */
        rest: NOTHING,
        /** What is still to come of a large chunk, with the end of its line. */
        largeBytes: 0,
        isUnchanged: false,
    };
    /** Where the data of the latest chunk begin, and their length. */
    const chunk = { from: 0, length: 0 };
    const readChunk = (bytes: Buffer, start: number): ChunkKind => {
        let at = start;
        let length = 0;
        for (; at < bytes.length && at - start < MAX_DIGITS; at += 1) {
            const digit = DIGITS[bytes[at] ?? 0] ?? NO_DIGIT;
            if (digit === NO_DIGIT) {
                break;
            }
            length = length * HEX + digit;
        }
        chunk.from = at + END_BYTES;
        chunk.length = length;
        const end = chunk.from + length;
        const isLine = at > start && (bytes[at] ?? CR) === CR && (bytes[at + 1] ?? LF) === LF;
        const isWhole = bytes.length >= chunk.from;
        if (!isLine || (isWhole && length === 0)) {
            return "other";
        }
        if (isWhole && length > MAX_SMALL_BYTES) {
            return "large";
        }
        if ((bytes[end] ?? CR) !== CR || (bytes[end + 1] ?? LF) !== LF) {
            return "other";
        }
        return bytes.length >= end + END_BYTES ? "small" : "part";
    };
    const move = (bytes: Buffer, to: number): void => {
        if (chunk.length === 1) {
            bytes[to] = bytes[chunk.from] ?? 0;
        }
        else {
            bytes.copyWithin(to, chunk.from, chunk.from + chunk.length);
        }
    };
    /** Reads one large chunk, or what can be merged into one, from a place on; returns the place after it. */
    const readNext = (bytes: Buffer, start: number, parts: Buffer[]): number => {
        let end = start;
        let dataEnd = start;
        let kind = readChunk(bytes, end);
        for (; kind === "small"; kind = readChunk(bytes, end)) {
            move(bytes, dataEnd);
            dataEnd += chunk.length;
            end = chunk.from + chunk.length + END_BYTES;
        }
        if (dataEnd > start) {
            parts.push(...merged(bytes.subarray(start, dataEnd)));
        }
        switch (kind) {
            case "large":
                state.largeBytes = chunk.from - end + chunk.length + END_BYTES;
                return end;
            case "part":
                state.rest = Buffer.from(bytes.subarray(end));
                return bytes.length;
            case "other":
                state.isUnchanged = end < bytes.length;
                return end;
        }
    };
    return {
        merge: given => {
            const bytes = state.rest.length === 0 ? given : Buffer.concat([state.rest, given]);
            state.rest = NOTHING;
            const parts: Buffer[] = [];
            for (let at = 0; at < bytes.length;) {
                const passed = state.isUnchanged ? bytes.length - at : Math.min(state.largeBytes, bytes.length - at);
                if (passed > 0) {
                    parts.push(bytes.subarray(at, at + passed));
                    state.largeBytes = Math.max(0, state.largeBytes - passed);
                    at += passed;
                }
                else {
                    at = readNext(bytes, at, parts);
                }
            }
            return parts;
        },
    };
}
