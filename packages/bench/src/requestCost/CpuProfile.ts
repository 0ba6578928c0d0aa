/** The fields that are used of a file that `node --cpu-prof` writes. */
export type CpuProfile = {
    readonly nodes: readonly {
        readonly id: number;
        readonly callFrame: { readonly functionName: string; readonly url: string; };
        readonly children?: readonly number[];
    }[];
    readonly samples: readonly number[];
    /** Microseconds before each sample. */
    readonly timeDeltas: readonly number[];
};
