type CollectorParts = {
    /** Bytes of all buffers, also of those that are not collected yet. */
    readonly bufferBytes: () => number;
    /** Buffers above which those that are dead are collected. */
    readonly limit: () => number;
    /** Collects young objects; `undefined` if the process has no way to. */
    readonly collect: (() => void) | undefined;
};

/** Collects the buffers of large bodies; called with the size of each part that has been read of one. */
type Collector = (bytes: number) => void;

/** Bytes after which it is looked whether a collection is due. */
const CHECK_BYTES = 1024 * 1024;
/** After a collection, the next one follows once this fraction of the limit has been read; what lived on is not young any more. */
const NEXT_FRACTION = 0.5;

/**
 * Creates the collector. Load: large bodies that are read, or refused and discarded, at full speed. V8 collects young
 * buffers only once they take many MB, whatever the size of its heap is, which is a large part of what a VM's memory may grow by.
 */
export function createCollector({ bufferBytes, limit, collect }: CollectorParts): Collector {
    const state = { readBytes: 0, dueBytes: CHECK_BYTES };
    return bytes => {
        state.readBytes += bytes;
        if (collect === undefined || state.readBytes < state.dueBytes) {
            return;
        }
        state.readBytes = 0;
        state.dueBytes = CHECK_BYTES;
        if (bufferBytes() > limit()) {
            collect();
            state.dueBytes = Math.max(CHECK_BYTES, NEXT_FRACTION * limit());
        }
    };
}
