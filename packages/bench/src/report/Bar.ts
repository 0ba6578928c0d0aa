/** One bar of a chart. */
export type Bar = {
    /** Bars of one group are drawn together. */
    readonly group: string;
    /** What the bar shows within its group; bars of one label have one colour. */
    readonly label: string;
    readonly value: number;
};
