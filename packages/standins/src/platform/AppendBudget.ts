/** Appends that may still be made in the second that began at `since`. */
export type AppendBudget = {
    readonly since: number;
    readonly used: number;
};
