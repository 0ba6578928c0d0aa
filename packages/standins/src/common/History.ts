/** Record of everything that a stand-in ran, in order. */
export type History<Entry> = {
    /** Appends an entry. If there is a history file, the entry has been written to it when the call returns. */
    readonly add: (entry: Entry) => void;
    readonly entries: () => readonly Entry[];
};
