/** Measures how the costs of a daemon grow: `slopes [--json FILE]`. */
import { writeFileSync } from "node:fs";

import { cac } from "cac";

import { runProgram } from "../process/runProgram.js";
import { formatTable } from "../report/formatTable.js";
import { processSlopes } from "./processSlopes.js";
import type { Slope } from "./Slope.js";
import { stateSlopes } from "./stateSlopes.js";

const PRECISION = 3;

const rowOf = ({ name, item, unit, perItem, fixed, points }: Slope): readonly string[] => [
    name,
    item,
    unit,
    perItem.toPrecision(PRECISION),
    fixed.toPrecision(PRECISION),
    points.map(({ items, value }) => `${items}: ${value.toPrecision(PRECISION)}`).join(", "),
];

const run = async (options: { readonly json?: string; }): Promise<void> => {
    const startedAt = performance.now();
    const logProgress = (line: string): void =>
        console.error(`${((performance.now() - startedAt) / 1_000).toFixed(0).padStart(4)} s  ${line}`);
    const states = stateSlopes();
    logProgress("aggregates");
    const slopes = [...states, ...await processSlopes(logProgress)];
    const head = ["what", "item", "unit", "each item", "fixed", "measured"];
    console.log(formatTable([head, ...slopes.map(rowOf)]));
    if (options.json !== undefined) {
        writeFileSync(options.json, `${JSON.stringify({ slopes }, undefined, 4)}\n`);
    }
};

const cli = cac("slopes");
cli.option("--json <file>", "writes the figures");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    runProgram("slopes", () => run(options));
}
