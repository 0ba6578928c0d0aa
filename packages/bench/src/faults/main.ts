/** Measures a run with faults: `measure:faults [--workload W,...] [--seconds N] [--seed N] [--json FILE]`. */
import { writeFileSync } from "node:fs";

import { cac } from "cac";

import type { RunFigures } from "../analysis/RunFigures.js";
import { measureRun } from "../measure/measureRun.js";
import { runProgram } from "../process/runProgram.js";
import { costRows } from "../report/costRows.js";
import { formatTable } from "../report/formatTable.js";
import { summaryRows } from "../report/summaryRows.js";
import { workloads } from "../workload/workloads.js";
import { faultPhases } from "./faultPhases.js";
import { injectPhaseFault } from "./injectPhaseFault.js";

const DEFAULT_SECONDS = 8;
const DEFAULT_SEED = 20_261_202;

type Options = {
    readonly workload?: string;
    readonly seconds?: number;
    readonly seed?: number;
    readonly json?: string;
};

const run = async (options: Options): Promise<void> => {
    const names = options.workload?.split(",") ?? workloads.map(({ name }) => name);
    const phases = faultPhases(options.seconds ?? DEFAULT_SECONDS);
    const runs = await workloads
        .filter(({ name }) => names.includes(name))
        .reduce<Promise<readonly RunFigures[]>>(async (before, workload) => {
            const done = await before;
            const { figures, ended } = await measureRun({
                workload,
                phases,
                policy: "azureshunt",
                seed: options.seed ?? DEFAULT_SEED,
                fail: injectPhaseFault,
                say: line => console.error(line),
            });
            await ended;
            return [...done, figures];
        }, Promise.resolve([]));
    console.log(formatTable(summaryRows(runs, () => "")));
    console.log();
    console.log(formatTable(costRows(runs)));
    if (options.json !== undefined) {
        writeFileSync(options.json, `${JSON.stringify({ runs }, undefined, 4)}\n`);
    }
};

const cli = cac("measure:faults");
cli.option("--workload <names>", `workloads: ${workloads.map(({ name }) => name).join(", ")}`);
cli.option("--seconds <n>", "length of each phase");
cli.option("--seed <n>", "seed of all that is random");
cli.option("--json <file>", "writes the figures");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    runProgram("measure:faults", () => run(options as Options));
}
