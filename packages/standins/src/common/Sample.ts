/** A value as it was at a moment. */
export type Sample<T> = {
    readonly at: number;
    readonly value: T;
};
