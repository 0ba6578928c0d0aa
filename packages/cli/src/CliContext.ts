import type { Target } from "./Target.js";

/** Inputs and outputs of a running command. */
export type CliContext = {
    /** Positional arguments, in the order of the command's usage. */
    readonly args: readonly string[];
    /** The whole command line as typed, without the program's name. */
    readonly argv: readonly string[];
    /** Parsed options by long name in camel case. */
    readonly options: Readonly<Record<string, unknown>>;
    readonly target: Target | undefined;
    /** Returns the milliseconds of a monotonic clock. */
    readonly now: () => number;
    readonly sleep: (ms: number) => Promise<void>;
    /** Writes one line immediately, for commands that continue running. */
    readonly printLine: (line: string) => void;
    readonly paint: (text: string, colour: "green" | "red" | "yellow") => string;
};
