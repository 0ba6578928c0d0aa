/** Fault injected into one answer at its token `at`, counted from 0 at the first token sent. */
export type StreamFault = {
    readonly kind: "none" | "cut" | "stall" | "skip" | "repeat";
    readonly at: number;
};
