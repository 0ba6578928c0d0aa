/** How long records are kept: the oldest are dropped as soon as either bound is exceeded. */
export type Retention = {
    readonly count: number;
    readonly ageMs: number;
};
