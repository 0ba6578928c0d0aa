import type { HeapPart } from "../flow/HeapPart.js";
import type { StorePage } from "../ports/StorePage.js";

type TopicRecord = StorePage["records"][number];

/** A VM's copy of a topic, kept for VMs that query it instead of the store. */
type TopicMirror = {
    readonly record: (
        page: Pick<StorePage, "records"> & {
            readonly isWhole: boolean;
            /** The offset of the first record that has not been read. */
            readonly readTo: number;
        },
    ) => void;
    /** Drops all records, as the topic has begun anew. */
    readonly restart: () => void;
    /**
     * Returns the newest records from an offset on, or those of all keys if `from` is `undefined`.
     *
     * A VM that has read further than this one gets no answer. If the topic has begun anew, that is how it finds out, as it
     * then reads the store itself.
     *
     * @returns undefined until the topic was read
     */
    readonly answer: (from: number | undefined) => (StorePage & { readonly isWhole: boolean; }) | undefined;
    /** The records, and the bytes of their values. */
    readonly held: () => HeapPart;
};

/**
 * Creates an empty mirror. It keeps the newest record of each key, or a record without a value if the key was deleted.
 *
 * @param isSame whether two values of the key are equivalent to readers, so that the second need not be sent to them
 */
export function createTopicMirror(isSame: (key: string, before: Buffer, now: Buffer) => boolean): TopicMirror {
    const state = { records: new Map<string, TopicRecord>(), end: undefined as number | undefined };

    const isNewer = ({ offset, key, value }: TopicRecord): boolean => {
        const before = state.records.get(key);
        return before === undefined
            || (offset > before.offset
                && (value === undefined || before.value === undefined || !isSame(key, before.value, value)));
    };
    const record: TopicMirror["record"] = ({ records, readTo, isWhole }) => {
        const keys = new Set(records.map(({ key }) => key));
        const deletedKeys = isWhole ? [...state.records.keys()].filter(key => !keys.has(key)) : [];
        deletedKeys.forEach(key => state.records.set(key, { key, offset: readTo - 1, value: undefined }));
        records.filter(isNewer).forEach(newer => state.records.set(newer.key, newer));
        state.end = Math.max(readTo, state.end ?? 0);
    };
    const restart: TopicMirror["restart"] = () => {
        state.records = new Map();
        state.end = undefined;
    };
    const answer: TopicMirror["answer"] = from => {
        const { end } = state;
        if (end === undefined || (from !== undefined && from > end)) {
            return undefined;
        }
        const records = [...state.records.values()]
            .filter(({ offset, value }) => from === undefined ? value !== undefined : offset >= from);
        return { records, end, isWhole: from === undefined };
    };
    const held: TopicMirror["held"] = () => ({
        count: state.records.size,
        bytes: [...state.records.values()].reduce((sum, { value }) => sum + (value?.length ?? 0), 0),
    });
    return { record, restart, answer, held };
}
