import { parseMetrics } from "../analysis/parseMetrics.js";
import type { DaemonCounters } from "../analysis/RunFigures.js";
import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";

const COUNTED = /^azureshunt_\w+_total$/;

/** Adds up what daemons counted, by name and labels. */
export async function readCounters(daemons: readonly DaemonProcess[]): Promise<DaemonCounters> {
    const texts = await Promise.all(daemons.map(({ admin }) => callHttp({ method: "GET", url: `${admin}/metrics` })));
    const samples = texts.flatMap(({ text }) => parseMetrics(text)).filter(({ name }) => COUNTED.test(name));
    const series = [...new Set(samples.map(({ name, labels }) => name + labels))].toSorted();
    const totalOf = (wanted: string): number =>
        samples.filter(({ name, labels }) => name + labels === wanted).reduce((sum, { value }) => sum + value, 0);
    return Object.fromEntries(series.map(one => [one, totalOf(one)]));
}
