/** Why a command failed. */
export type CliFailure = {
    /** One of `exitCodes`. */
    readonly code: number;
    /** Human-readable lines. */
    readonly lines: readonly string[];
    /** Output with `--json`; a generic object with the lines if undefined. */
    readonly json?: unknown;
};
