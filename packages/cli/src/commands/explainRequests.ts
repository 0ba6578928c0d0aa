import { EitherAsync, Left, Right } from "purify-ts";
import type { Either } from "purify-ts";

import type { CliContext } from "../CliContext.js";
import type { CliFailure } from "../CliFailure.js";
import type { CliOutput } from "../CliOutput.js";
import type { Command } from "../Command.js";
import { explainRequest } from "../explain/explainRequest.js";
import type { LogLine } from "../explain/LogLine.js";
import { parseLogLine } from "../explain/parseLogLine.js";
import { failure } from "../failure.js";
import { readText } from "../readText.js";
import { table } from "../table.js";

const STANDARD_INPUT = "/dev/stdin";
const HEADING = ["MS", "VM", "WHAT", ""];

const valueOf = (value: unknown): string =>
    typeof value === "object" && value !== null ? JSON.stringify(value) : String(value);

const rowOf = (line: LogLine, start: number): readonly string[] => {
    const values = Object.entries(line.fields).filter(([name]) => name !== "id")
        .map(([name, value]) => `${name}=${valueOf(value)}`);
    return [String(line.time - start), line.vm, line.msg, values.join(" ")];
};

const explain = (id: string, text: string): Either<CliFailure, CliOutput> => {
    const texts = text.split("\n").filter(line => line.trim() !== "");
    const lines = texts.flatMap(line => parseLogLine(line) ?? []);
    const { own, around } = explainRequest(lines, id);
    const start = own[0]?.time;
    if (start === undefined) {
        const unparsed = texts.length - lines.length;
        return Left(
            failure("notFound", [`${id}: no line names it; ${lines.length} lines read, ${unparsed} not readable`]),
        );
    }
    const section = (heading: string, sectionLines: readonly LogLine[]): readonly string[] =>
        sectionLines.length === 0 ? [] : [heading, ...table(HEADING, sectionLines.map(line => rowOf(line, start))), ""];
    return Right({
        lines: [
            ...section(`request ${id}, first line ${new Date(start).toISOString()}`, own),
            ...section("around it: its endpoints, and what its VMs came to believe", around),
        ],
        json: { id, own, around },
    });
};

/** Returns the value of `--id` as typed, because the parser converts values that look like numbers. */
const typedId = ({ argv }: CliContext): string | undefined => {
    const index = argv.findIndex(word => word === "--id" || word.startsWith("--id="));
    const word = argv[index] ?? "";
    return word.startsWith("--id=") ? word.slice("--id=".length) : argv[index + 1];
};

const run = (ctx: CliContext): EitherAsync<CliFailure, CliOutput> => {
    const id = typedId(ctx);
    if (ctx.options["id"] === undefined || id === undefined) {
        return EitherAsync.liftEither(Left(failure("usage", ["--id: found nothing; allowed: a request's id"])));
    }
    const files = ctx.args.map(file => file === "-" ? STANDARD_INPUT : file);
    const texts = files.map(readText).reduce<Either<CliFailure, readonly string[]>>(
        (all, text) => all.chain(before => text.map(read => [...before, read])),
        Right([]),
    );
    return EitherAsync.liftEither(texts.chain(read => explain(id, read.join("\n"))));
};

/** `explain`: shows the log lines of several VMs that explain one request, in order of time. */
const explainRequests: Command = {
    usage: "explain <...files>",
    summary: "Order the lines of several VMs' logs for one request; `-` is standard input",
    example: "azureshunt explain --id 59a8772c0ec74b8e vm-1.log vm-2.log",
    options: [{ flag: "--id <id>", description: "the request's id" }],
    needsTarget: false,
    run,
};

export { explainRequests };
