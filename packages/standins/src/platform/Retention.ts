/** How long records are kept: whichever bound is reached first drops the oldest. */
export type Retention = {
    readonly count: number;
    readonly ageMs: number;
};
