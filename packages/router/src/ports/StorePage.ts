/** One record of a topic. Topics without keys have `key` empty. */
type StoreRecord = {
    readonly offset: number;
    readonly key: string;
    /** Undefined where the key was dropped. */
    readonly value: Buffer | undefined;
};

/** What a read gives: `end` is the offset of the next record. */
export type StorePage = { readonly records: readonly StoreRecord[]; readonly end: number; };
