/** One measurement: the cost at a number of items. */
type SlopePoint = { readonly items: number; readonly value: number; };

/** How a cost grows with the number of items. */
type Slope = {
    readonly name: string;
    /** What one item is. */
    readonly item: string;
    readonly unit: "bytes" | "CPU µs" | "CPU ms/s" | "bytes/s" | "CPU ms";
    /** Cost of one additional item. */
    readonly perItem: number;
    /** Cost without any item. */
    readonly fixed: number;
    readonly points: readonly SlopePoint[];
};

export type { Slope, SlopePoint };
