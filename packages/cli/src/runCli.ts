import { setTimeout as sleep } from "node:timers/promises";

import { EitherAsync } from "purify-ts";

import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import type { CliOutput } from "./CliOutput.js";
import type { Command } from "./Command.js";
import { commands } from "./commands/commands.js";
import { createCli } from "./createCli.js";
import { exitCodes } from "./exitCodes.js";
import { failure } from "./failure.js";
import { findTarget } from "./findTarget.js";

const COLOURS = { green: 32, red: 31, yellow: 33 } as const;
const SINGLE_OPTIONS = ["url", "key", "config", "wait", "organisation", "id", "interval", "count"];

/** Environment variables and output streams of the tool. */
type CliShell = {
    readonly env: Readonly<Record<string, string | undefined>>;
    readonly isTerminal: boolean;
    readonly out: (line: string) => void;
    readonly err: (line: string) => void;
};

type ParsedCommand = {
    readonly command: Command;
    readonly args: readonly string[];
    readonly options: CliContext["options"];
};

const nameOf = (command: Command): string => command.usage.replace(/ <.*/, "");

/** Joins the two words of a command into one argument, because the parser only supports commands of one word. */
const joinCommandWords = (argv: readonly string[]): readonly string[] => {
    const [first = "", second = "", ...rest] = argv;
    const isCommand = commands.some(command => nameOf(command) === `${first} ${second}`);
    return isCommand ? [`${first} ${second}`, ...rest] : argv;
};

const repeatedOption = (options: CliContext["options"]): string | undefined =>
    SINGLE_OPTIONS.find(name => Array.isArray(options[name]));

const runCommand = (
    parsed: ParsedCommand,
    argv: readonly string[],
    shell: CliShell,
): EitherAsync<CliFailure, CliOutput> => {
    const { command, args, options } = parsed;
    const context = (target: CliContext["target"]): CliContext => ({
        args,
        argv,
        options,
        target,
        now: () => performance.now(),
        sleep: ms => sleep(ms),
        printLine: shell.out,
        paint: (text, colour) => shell.isTerminal ? `\u001b[${COLOURS[colour]}m${text}\u001b[0m` : text,
    });
    const repeated = repeatedOption(options);
    if (repeated !== undefined) {
        return EitherAsync(({ throwE }) => throwE(failure("usage", [`--${repeated}: found twice; allowed: once`])));
    }
    return command.needsTarget
        ? EitherAsync.liftEither(findTarget(options, shell.env)).chain(target => command.run(context(target)))
        : command.run(context(undefined));
};

const print = (shell: CliShell, isJson: boolean, result: CliFailure | CliOutput, write: CliShell["out"]): number => {
    const { lines, json } = result;
    if (isJson) {
        shell.out(JSON.stringify(json ?? { kind: "failed", message: lines.join("; ") }));
    }
    else {
        lines.forEach(write);
    }
    return result.code ?? exitCodes.done;
};

/**
 * Runs one command line.
 *
 * @param argv arguments, without the program's name
 * @returns the exit code, one of `exitCodes`
 */
export async function runCli(argv: readonly string[], shell: CliShell): Promise<number> {
    const usage = (message: string): number => {
        shell.err(`azureshunt: ${message}`);
        return exitCodes.usage;
    };
    const parsed: { value?: ParsedCommand; } = {};
    const cli = createCli((command, args, options) => {
        parsed.value = { command, args, options };
    });
    try {
        const { options } = cli.parse(["node", "azureshunt", ...joinCommandWords(argv)], { run: false });
        if (options["help"] === true || options["version"] === true) {
            return exitCodes.done;
        }
        cli.runMatchedCommand();
    }
    catch (err) {
        return usage(err instanceof Error ? err.message : String(err));
    }
    const { value } = parsed;
    if (value === undefined) {
        return usage(
            `found ${JSON.stringify(argv.slice(0, 2).join(" "))}; allowed: ${commands.map(nameOf).join(", ")}`,
        );
    }
    const isJson = value.options["json"] === true;
    const result = await runCommand(value, argv, shell);
    return result.caseOf({
        Left: why => {
            // A command that throws also ends here.
            const known = why instanceof Error ? failure("failed", [why.message]) : why;
            return print(shell, isJson, known, line => shell.err(`azureshunt: ${line}`));
        },
        Right: output => print(shell, isJson, output, shell.out),
    });
}
