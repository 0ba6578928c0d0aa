/** Measures the CPU time of a VM at rest: `idleCost [--json FILE] [--seconds N] [--case VMS[/ROLE]]`. */
import { writeFileSync } from "node:fs";

import { cac } from "cac";

import { runProgram } from "../process/runProgram.js";
import { formatTable } from "../report/formatTable.js";
import { idleCases } from "./idleCases.js";
import type { IdleFigures } from "./IdleFigures.js";
import { measureIdleCost } from "./measureIdleCost.js";

const SETTLE_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** Cases that are measured at the same time; each takes two processes. */
const PARALLEL = 2;
const COMPONENTS = [
    "runtime",
    "beacons",
    "store",
    "registry",
    "gauges",
    "placement",
    "knowledge",
    "allowance",
    "fleet",
];

const rowOf = (figures: IdleFigures): readonly string[] => [
    String(figures.vms),
    figures.role,
    String(figures.endpoints),
    figures.cpuMs.toFixed(1),
    figures.wakeUps.toFixed(0),
    `${figures.beaconsSent.toFixed(0)}/${figures.beaconsReceived.toFixed(0)}`,
    figures.residentMb.toFixed(0),
    ...COMPONENTS.map(name => ((figures.shares[name] ?? 0) * figures.cpuMs).toFixed(1)),
];

type Options = { readonly json?: string; readonly seconds: number; readonly case?: string | number; };

const run = async ({ json, seconds, case: only }: Options): Promise<void> => {
    const wanted = only === undefined ? undefined : String(only).split("/");
    const cases = idleCases.filter(({ vms, role }) =>
        wanted === undefined || (String(vms) === wanted[0] && (wanted[1] === undefined || role === wanted[1]))
    );
    const times = { settleMs: SETTLE_MS, measureMs: seconds * MS_PER_SECOND };
    const figures: IdleFigures[] = [];
    for (let first = 0; first < cases.length; first += PARALLEL) {
        figures.push(
            ...await Promise.all(cases.slice(first, first + PARALLEL).map(each => measureIdleCost(each, times))),
        );
    }
    const head = ["VMs", "role", "endpoints", "ms/s", "wake-ups/s", "sent/received", "MB", ...COMPONENTS];
    console.log(formatTable([head, ...figures.map(rowOf)]));
    if (json !== undefined) {
        writeFileSync(json, `${JSON.stringify({ seconds, figures }, undefined, 4)}\n`);
    }
};

const cli = cac("idle-cost");
cli.option("--json <file>", "writes the figures");
cli.option("--seconds <n>", "length of each measurement", { default: 15 });
cli.option("--case <case>", "measures only the cases with this number of VMs, and role after a slash");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    runProgram("idle-cost", () => run(options as unknown as Options));
}
