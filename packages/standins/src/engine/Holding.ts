/** Weights that an engine holds. */
export type Holding = {
    readonly model: string;
    readonly adapter?: string | undefined;
    readonly version: string;
};
