/** One bar of a chart. */
export type Bar = {
    /** What the bar stands for; bars of one group stand together. */
    readonly group: string;
    readonly label: string;
    readonly value: number;
};
