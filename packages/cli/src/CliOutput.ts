/** Result of a successful command. */
export type CliOutput = {
    /** Human-readable lines. */
    readonly lines: readonly string[];
    /** Output with `--json`. */
    readonly json: unknown;
    /** One of `exitCodes`; `done` if undefined. */
    readonly code?: number;
};
