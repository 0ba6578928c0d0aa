import type { Target } from "./Target.js";

/** What a command works with. */
export type CliContext = {
    /** Positional arguments, in the order of the command's usage. */
    readonly args: readonly string[];
    /** All words as typed. */
    readonly argv: readonly string[];
    /** Options by their long names in camel case. */
    readonly options: Readonly<Record<string, unknown>>;
    readonly target: Target | undefined;
    /** Milliseconds of a monotonic clock. */
    readonly now: () => number;
    readonly sleep: (ms: number) => Promise<void>;
    /** Writes one line at once, for commands that go on. */
    readonly say: (line: string) => void;
    readonly paint: (text: string, colour: "green" | "red" | "yellow") => string;
};
