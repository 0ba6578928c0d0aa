import { type CAC, cac } from "cac";

import type { Command } from "./Command.js";
import { commands } from "./commands/commands.js";

const VERSION = "0.1.0";
const EXIT_CODES = [
    "  0  done",
    "  1  the daemon could not be reached, or failed",
    "  2  wrong usage, or a file with faults; nothing was sent",
    "  3  conflict: something else was accepted meanwhile",
    "  4  accepted, and not in force everywhere yet",
    "  5  not known whether it took effect; run it again",
    "  6  the key was refused",
    "  7  there is no such thing",
].join("\n");

/** Called with the command, arguments and options of the parsed command line. */
type RunCommand = (command: Command, args: readonly string[], options: Readonly<Record<string, unknown>>) => void;

/** Declares all commands, with their help texts. */
export function createCli(run: RunCommand): CAC {
    const cli = cac("azureshunt");
    cli.option("--url <url>", "administration listener of any VM (AZURESHUNT_URL)");
    cli.option("--key <key>", "administration key (AZURESHUNT_KEY); others on this machine can see flags");
    cli.option("--config <file>", "YAML file of mode 0600 with url and key (AZURESHUNT_CONFIG, ~/.azureshunt.yaml)");
    cli.option("--json", "print JSON");
    commands.forEach(command => {
        const declared = cli.command(command.usage, command.summary).example(command.example);
        command.options?.forEach(({ flag, description }) => declared.option(flag, description));
        declared.action((...given: unknown[]) => {
            const options = given.at(-1) as Readonly<Record<string, unknown>>;
            // The parser passes a variadic argument as one array.
            run(command, given.slice(0, -1).flat().map(String), options);
        });
    });
    cli.help(sections => [...sections, { title: "Exit codes", body: EXIT_CODES }]);
    cli.version(VERSION);
    return cli;
}
