/** What a command gives back. */
export type CliOutput = {
    /** For people. */
    readonly lines: readonly string[];
    /** For `--json`. */
    readonly json: unknown;
    /** One of `exitCodes`; done when left out. */
    readonly code?: number;
};
