/** Measures what a daemon adds to the time to the first token: `measure:overhead [--streams N] [--json FILE]`. */
import { writeFileSync } from "node:fs";

import { cac } from "cac";

import type { Percentiles } from "../analysis/Percentiles.js";
import { runProgram } from "../process/runProgram.js";
import { formatTable } from "../report/formatTable.js";
import { measureOverhead } from "./measureOverhead.js";

const DEFAULT_STREAMS = 200;

type Options = { readonly streams?: number; readonly json?: string; };

const rowOf = (name: string, { count, p50, p95, p99 }: Percentiles): readonly string[] => [
    name,
    String(count),
    p50.toFixed(2),
    p95.toFixed(2),
    p99.toFixed(2),
];

const run = async (options: Options): Promise<void> => {
    const overhead = await measureOverhead(options.streams ?? DEFAULT_STREAMS);
    console.log(formatTable([
        ["outside the engine", "probes", "p50 ms", "p95 ms", "p99 ms"],
        rowOf("straight to an engine", overhead.direct),
        rowOf("through a daemon", overhead.idle),
        rowOf(`through a daemon with ${overhead.streams} streams`, overhead.loaded),
    ]));
    if (options.json !== undefined) {
        writeFileSync(options.json, `${JSON.stringify(overhead, undefined, 4)}\n`);
    }
};

const cli = cac("measure:overhead");
cli.option("--streams <n>", "streams in flight at the daemon");
cli.option("--json <file>", "writes the figures");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    runProgram("measure:overhead", () => run(options as Options));
}
