import type { EitherAsync } from "purify-ts";

import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import type { CliOutput } from "./CliOutput.js";

/** One command of the command-line tool. */
export type Command = {
    /** Name and arguments, such as `release show <revision>`. */
    readonly usage: string;
    readonly summary: string;
    /** An example of a complete command line. */
    readonly example: string;
    /** Options in addition to those that all commands have. */
    readonly options?: readonly { readonly flag: string; readonly description: string; }[];
    /** Whether the command calls a daemon, so that address and key are required. */
    readonly needsTarget: boolean;
    readonly run: (ctx: CliContext) => EitherAsync<CliFailure, CliOutput>;
};
