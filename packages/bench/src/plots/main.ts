/** Writes the charts of a measurement as SVG files and prints its tables: `plots FILE FOLDER`. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

import { cac } from "cac";

import { costRows } from "../report/costRows.js";
import { formatTable } from "../report/formatTable.js";
import { summaryRows } from "../report/summaryRows.js";
import { chartsOf } from "./chartsOf.js";
import type { MeasureFile } from "./MeasureFile.js";

const draw = (file: string, folder: string): void => {
    const measured = JSON.parse(readFileSync(file, "utf8")) as MeasureFile;
    const noisyOf = (name: string): string =>
        measured.workloads.find(workload => workload.name === name)?.noisy.id ?? "";
    mkdirSync(folder, { recursive: true });
    chartsOf(measured).forEach(chart => writeFileSync(join(folder, chart.file), chart.svg));
    console.log(formatTable(summaryRows(measured.runs, noisyOf)));
    console.log();
    console.log(formatTable(costRows(measured.runs)));
};

const cli = cac("plots");
cli.command("<file> <folder>", "draws SVG pictures and prints the tables of what measure wrote").action(draw);
cli.help();
cli.parse(process.argv);
