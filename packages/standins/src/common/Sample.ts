/** A value and the time since which it holds. */
export type Sample<T> = {
    readonly at: number;
    readonly value: T;
};
