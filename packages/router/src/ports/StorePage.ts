/** One record of a topic. In topics without keys, `key` is empty. */
type StoreRecord = {
    readonly offset: number;
    readonly key: string;
    /** `undefined` if the key was deleted. */
    readonly value: Buffer | undefined;
};

/** Result of a read. `end` is the offset of the next record to be appended. */
export type StorePage = { readonly records: readonly StoreRecord[]; readonly end: number; };
