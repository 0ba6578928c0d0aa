/** Why a command ended without doing what it was asked for. */
export type CliFailure = {
    /** One of `exitCodes`. */
    readonly code: number;
    /** Lines for people. */
    readonly lines: readonly string[];
    /** The same for `--json`. */
    readonly json?: unknown;
};
