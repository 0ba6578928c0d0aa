/** What a part of the process holds in the heap. */
export type HeapPart = {
    /** Number of its items, such as requests or rows. */
    readonly count: number;
    /** Bytes of them as far as they are counted; they may lie outside of the heap, in buffers. */
    readonly bytes?: number;
};
