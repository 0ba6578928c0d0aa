/** Appends made in the one-second window that began at `since`. */
export type AppendBudget = {
    readonly since: number;
    readonly used: number;
};
