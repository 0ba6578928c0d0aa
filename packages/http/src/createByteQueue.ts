/** Bytes that wait, in the order in which they came. */
type ByteQueue = {
    readonly add: (part: Buffer) => void;
    /** Removes and returns up to so many of the first bytes, in one piece; `undefined` if there are none. */
    readonly take: (maxBytes?: number) => Buffer | undefined;
    /** Removes and returns all bytes, in as many pieces as they are kept in. */
    readonly takeAll: () => readonly Buffer[];
    /** Number of bytes that wait. */
    readonly bytes: () => number;
};

/** A part of this size costs little beside its bytes, and is kept as it is; smaller ones are copied together. */
const MIN_KEPT_BYTES = 4 * 1024;
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;
const NOTHING = Buffer.alloc(0);

/**
 * Creates a queue of bytes. A peer may send its bytes in parts of any size, and each part that is kept as it came takes
 * some hundred bytes of heap, however small it is. To prevent that these use up the heap, small parts are copied into
 * blocks, which take at most twice their bytes.
 */
export function createByteQueue(): ByteQueue {
    const state = { pieces: [] as Buffer[], bytes: 0, single: undefined as Buffer | undefined };
    /** The block at the end, of which the bytes from `start` to `end` wait. */
    const open = { block: NOTHING, start: 0, end: 0 };
    const close = (): void => {
        if (open.end > open.start) {
            state.pieces.push(open.block.subarray(open.start, open.end));
        }
        open.block = NOTHING;
        open.start = 0;
        open.end = 0;
    };
    const copy = (part: Buffer): void => {
        const copied = part.copy(open.block, open.end);
        open.end += copied;
        if (copied < part.length) {
            // Of a queue that is taken from all the time, only what waits decides: blocks would grow with all that has passed.
            const wanted = Math.min(2 * open.block.length, state.bytes);
            const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, part.length - copied, wanted));
            close();
            open.block = Buffer.allocUnsafeSlow(size);
            open.end = part.copy(open.block, 0, copied);
        }
    };
    /** A part that stays the only one is not copied. */
    const settleSingle = (): void => {
        const { single } = state;
        state.single = undefined;
        if (single !== undefined) {
            copy(single);
        }
    };
    const add: ByteQueue["add"] = part => {
        if (part.length === 0) {
            return;
        }
        const isFirst = state.bytes === 0;
        state.bytes += part.length;
        settleSingle();
        if (part.length >= MIN_KEPT_BYTES) {
            close();
            state.pieces.push(part);
        }
        else if (isFirst) {
            state.single = part;
        }
        else {
            copy(part);
        }
    };
    const takeAll: ByteQueue["takeAll"] = () => {
        const { single } = state;
        close();
        const all = single === undefined ? state.pieces : [single];
        state.pieces = [];
        state.single = undefined;
        state.bytes = 0;
        return all;
    };
    const take: ByteQueue["take"] = (maxBytes = Infinity) => {
        if (state.bytes === 0) {
            return undefined;
        }
        if (state.single !== undefined && state.bytes <= maxBytes) {
            return takeAll()[0];
        }
        settleSingle();
        const [first] = state.pieces;
        const piece = first?.subarray(0, maxBytes)
            ?? open.block.subarray(open.start, Math.min(open.end, open.start + maxBytes));
        if (first === undefined) {
            open.start += piece.length;
        }
        else if (piece.length === first.length) {
            state.pieces.shift();
        }
        else {
            state.pieces[0] = first.subarray(piece.length);
        }
        state.bytes -= piece.length;
        if (state.bytes === 0) {
            close();
        }
        return piece;
    };
    return { add, take, takeAll, bytes: () => state.bytes };
}
