import { parseMetrics } from "../analysis/parseMetrics.js";
import type { DaemonCounters } from "../analysis/RunFigures.js";
import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";

const COUNTER_NAME = /^azureshunt_\w+_total$/;

/** Returns the sums of the daemons' counters, by name and labels. */
export async function readCounters(daemons: readonly DaemonProcess[]): Promise<DaemonCounters> {
    const texts = await Promise.all(daemons.map(({ admin }) => callHttp({ method: "GET", url: `${admin}/metrics` })));
    const samples = texts.flatMap(({ text }) => parseMetrics(text)).filter(({ name }) => COUNTER_NAME.test(name));
    const series = [...new Set(samples.map(({ name, labels }) => name + labels))].toSorted();
    const totalOf = (wanted: string): number =>
        samples.filter(({ name, labels }) => name + labels === wanted).reduce((sum, { value }) => sum + value, 0);
    return Object.fromEntries(series.map(key => [key, totalOf(key)]));
}
