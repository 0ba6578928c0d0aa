import type { EitherAsync } from "purify-ts";

import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import type { CliOutput } from "./CliOutput.js";

/** One command of the tool. */
export type Command = {
    /** Words and arguments, such as `release show <revision>`. */
    readonly usage: string;
    readonly summary: string;
    /** A whole command line. */
    readonly example: string;
    /** Options beside those of all commands: flag and description. */
    readonly options?: readonly { readonly flag: string; readonly description: string; }[];
    /** Whether it talks to a daemon. */
    readonly needsTarget: boolean;
    readonly run: (ctx: CliContext) => EitherAsync<CliFailure, CliOutput>;
};
