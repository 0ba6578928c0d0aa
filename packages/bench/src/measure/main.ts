/** Measures policies under load: `measure [--quick] [--policy P,...] [--workload W,...] [--seed N] [--json FILE]`. */
import { writeFileSync } from "node:fs";

import { cac } from "cac";

import type { RunFigures } from "../analysis/RunFigures.js";
import { runProgram } from "../process/runProgram.js";
import { costRows } from "../report/costRows.js";
import { formatTable } from "../report/formatTable.js";
import { summaryRows } from "../report/summaryRows.js";
import { phasesOf } from "../workload/phasesOf.js";
import type { Workload } from "../workload/Workload.js";
import { workloads } from "../workload/workloads.js";
import { measureRun } from "./measureRun.js";

type MeasuredRun = Awaited<ReturnType<typeof measureRun>>;

const POLICIES = ["round-robin", "least-loaded", "prefix-affinity", "azureshunt"];
const QUICK_SECONDS = 3;
const FULL_SECONDS = 30;
const DEFAULT_SEED = 20_261_202;
const BAD_FLAGS_EXIT_CODE = 2;

type Options = {
    readonly quick?: boolean;
    readonly policy?: string | readonly string[];
    readonly workload?: string | readonly string[];
    readonly seconds?: number;
    readonly seed?: number;
    readonly json?: string;
};

/** With more lateness (p99), the machine was too busy: the figures show the load generator instead of the daemons. */
const MAX_LATENESS_MS = 50;

const warnOfLateness = (runs: readonly RunFigures[]): void =>
    runs.filter(({ generatorLateness }) => generatorLateness.p99 > MAX_LATENESS_MS).forEach(run => {
        const lateMs = run.generatorLateness.p99.toFixed(0);
        console.log(`not valid: ${run.workload} ${run.policy}: requests left up to ${lateMs} ms late (p99)`);
    });

const injectNoFailure = (): Promise<void> => Promise.resolve();

const namesIn = (value: string | readonly string[] | undefined, all: readonly string[]): readonly string[] =>
    value === undefined ? all : [value].flat().flatMap(text => text.split(","));

const chooseNames = (value: string | readonly string[] | undefined, all: readonly string[]): readonly string[] => {
    const chosen = namesIn(value, all);
    const unknown = chosen.filter(name => !all.includes(name));
    if (unknown.length > 0) {
        console.error(`measure: unknown: ${unknown.join(", ")}; known: ${all.join(", ")}`);
        process.exit(BAD_FLAGS_EXIT_CODE);
    }
    return chosen;
};

/** Runs the policies one after the other, each on all workloads at once, so that all run under the same noise. */
const measureAll = async (
    chosen: readonly Workload[],
    policies: readonly string[],
    seed: number,
    seconds: number,
): Promise<readonly RunFigures[]> => {
    const phases = phasesOf(seconds);
    const startedAt = performance.now();
    const say = (line: string): void =>
        console.error(`${((performance.now() - startedAt) / 1_000).toFixed(0).padStart(4)} s  ${line}`);
    const measured = await policies.reduce<Promise<readonly MeasuredRun[]>>(async (before, policy) => {
        const done = await before;
        const runs = chosen.map(workload => measureRun({ workload, policy, seed, phases, fail: injectNoFailure, say }));
        return [...done, ...await Promise.all(runs)];
    }, Promise.resolve([]));
    await Promise.all(measured.map(({ ended }) => ended));
    const figures = measured.map(measuredRun => measuredRun.figures);
    return chosen.flatMap(({ name }) => figures.filter(({ workload }) => workload === name));
};

const run = async (options: Options): Promise<void> => {
    const policies = chooseNames(options.policy, POLICIES);
    const names = chooseNames(options.workload, workloads.map(({ name }) => name));
    const seconds = options.seconds ?? (options.quick === true ? QUICK_SECONDS : FULL_SECONDS);
    const chosen = workloads.filter(({ name }) => names.includes(name));
    const runs = await measureAll(chosen, policies, options.seed ?? DEFAULT_SEED, seconds);
    const noisyOf = (name: string): string => workloads.find(workload => workload.name === name)?.noisy.id ?? "";
    console.log(formatTable(summaryRows(runs, noisyOf)));
    console.log();
    console.log(formatTable(costRows(runs)));
    warnOfLateness(runs);
    if (options.json !== undefined) {
        writeFileSync(options.json, `${JSON.stringify({ workloads: chosen, runs }, undefined, 4)}\n`);
    }
};

const cli = cac("measure");
cli.option("--quick", "short runs, within 50 s in all");
cli.option("--policy <names>", `policies: ${POLICIES.join(", ")}`);
cli.option("--workload <names>", `workloads: ${workloads.map(({ name }) => name).join(", ")}`);
cli.option("--seconds <n>", "length of one run");
cli.option("--seed <n>", "seed of all that is random");
cli.option("--json <file>", "writes the figures");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    runProgram("measure", () => run(options as Options));
}
