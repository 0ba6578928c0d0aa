/** Measures the CPU time per request of one VM: `measure:request-cost [--seconds N] [--pairs N] [--kind KIND] [--json FILE]`. */
import { writeFileSync } from "node:fs";

import { cac } from "cac";

import { runProgram } from "../process/runProgram.js";
import { formatTable } from "../report/formatTable.js";
import type { CostKind } from "./CostKind.js";
import { measureRequestCost } from "./measureRequestCost.js";
import type { RequestCost } from "./RequestCost.js";

const PER_SECOND = 60;
const DEFAULT_SECONDS = 8;
const DEFAULT_PAIRS = 3;
const DEFAULT_FILE = "docs/measurements/request-cost.json";

type Options = {
    readonly seconds?: number;
    readonly pairs?: number;
    readonly kind?: CostKind;
    readonly json?: string;
};
type KindCost = RequestCost["kinds"][number];

const textOf = ({ median, least, greatest }: KindCost["ratio"]): string =>
    `${median.toFixed(2)} (${least.toFixed(2)} to ${greatest.toFixed(2)})`;

const totalsRow = (cost: KindCost): readonly string[] => [
    cost.kind,
    `${cost.answeredByRouter} and ${cost.answeredByProxy} of ${cost.sent}`,
    textOf(cost.routerMs),
    textOf(cost.proxyMs),
    textOf(cost.ratio),
    textOf(cost.routerFirstByteMs),
    textOf(cost.proxyFirstByteMs),
];

const run = async ({ seconds, pairs, kind, json = DEFAULT_FILE }: Options): Promise<void> => {
    const cost = await measureRequestCost({
        perSecond: PER_SECOND,
        secondsPerRun: seconds ?? DEFAULT_SECONDS,
        pairs: pairs ?? DEFAULT_PAIRS,
        kinds: kind === undefined ? ["plain", "stream"] : [kind],
    });
    const stages = Object.keys(cost.kinds[0]?.stagesMs ?? {});
    console.log(`idle: ${cost.routerIdleMs.toFixed(1)} ms of CPU time per second\n`);
    console.log(formatTable([
        ["kind", "answered by router and proxy", "router ms", "proxy ms", "ratio", "first byte ms", "of the proxy"],
        ...cost.kinds.map(totalsRow),
    ]));
    console.log(`\n${
        formatTable([
            ["router ms by stage", ...stages],
            ...cost.kinds.map(each => [each.kind, ...Object.values(each.stagesMs).map(ms => ms.toFixed(2))]),
        ])
    }`);
    writeFileSync(json, `${JSON.stringify(cost, undefined, 4)}\n`);
};

const cli = cac("measure:request-cost");
cli.option("--seconds <n>", "length of each run");
cli.option("--pairs <n>", "runs of each kind against the router and the proxy");
cli.option("--kind <kind>", "only plain or stream");
cli.option("--json <file>", `file of the figures; ${DEFAULT_FILE} if omitted`);
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    runProgram("measure:request-cost", () => run(options as Options));
}
