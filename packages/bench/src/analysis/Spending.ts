/** One request as the ideal allowance sees it. */
export type Spending = {
    readonly organisation: string;
    /** Milliseconds from the start of the run. */
    readonly at: number;
    /** Tokens charged for it. */
    readonly cost: number;
    readonly accepted: boolean;
};
