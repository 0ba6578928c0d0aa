/** One version of a model's or adapter's weights in an engine. */
export type Holding = {
    readonly model: string;
    readonly adapter?: string | undefined;
    readonly version: string;
};
