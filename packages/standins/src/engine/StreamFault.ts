/** What goes wrong with one answer at the token `at`, counted from the first one sent. */
export type StreamFault = {
    readonly kind: "none" | "cut" | "stall" | "skip" | "repeat";
    readonly at: number;
};
