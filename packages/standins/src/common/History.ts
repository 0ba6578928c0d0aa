/** Everything that a stand-in ran, in order. */
export type History<Entry> = {
    /** Remembers an entry; it is in the file, where there is one, when the call returns. */
    readonly add: (entry: Entry) => void;
    readonly entries: () => readonly Entry[];
};
