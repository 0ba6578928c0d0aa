/** Up to what the groups at one priority are admitted. */
export type GroupShare = {
    /** Recent requests up to which each group is admitted whole. */
    readonly level: number;
    /** Fraction of its requests that is admitted of each group at least. */
    readonly minFraction: number;
};
