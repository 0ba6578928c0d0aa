/** The fields that are used of a file that `node --cpu-prof` writes. */
export type CpuProfile = {
    readonly nodes: readonly {
        readonly id: number;
        readonly callFrame: { readonly functionName: string; readonly url: string; };
        readonly children?: readonly number[];
    }[];
    /** Ids of nodes, one per interval of time. */
    readonly samples: readonly number[];
};
