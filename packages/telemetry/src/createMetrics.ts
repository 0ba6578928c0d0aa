import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";

import type { Metrics } from "./Metrics.js";

type Labels = Readonly<Record<string, string>>;
type Family = { readonly type: "counter" | "gauge" | "summary"; readonly help: string; };

const MAX_MS = 3_600_000;
/** Precision of 1%. A third digit would take eight times the memory, a quarter of a megabyte per series. */
const SIGNIFICANT_DIGITS = 2;
const MICROS_PER_MS = 1_000;
const QUANTILES: readonly number[] = [0.5, 0.95, 0.99, 0.999];
const PERCENT = 100;

const SPECIAL = /[\\"\n]/;
const escapeLabel = (value: string): string =>
    !SPECIAL.test(value) ? value : value.replace(/[\\"\n]/g, c => c === "\n" ? "\\n" : `\\${c}`);

/** Built for every count and record, so without lists of names and values. */
const labelText = (labels: Labels): string => {
    let text = "";
    for (const name in labels) {
        text += `${text === "" ? "" : ","}${name}="${escapeLabel(labels[name] ?? "")}"`;
    }
    return text;
};

const seriesName = (name: string, labels: string): string => labels === "" ? name : `${name}{${labels}}`;

/** Metrics that are kept in this process. */
type MetricsRegistry = Metrics & {
    /** Number of samples and histograms that are kept. */
    readonly series: () => number;
};

/** Creates a registry of counters, gauges and histograms that renders them in Prometheus' text format. */
export function createMetrics(): MetricsRegistry {
    const families = new Map<string, Family>();
    const counters = new Map<string, Map<string, number>>();
    const gauges = new Map<string, Map<string, () => number>>();
    const histograms = new Map<string, Map<string, Histogram>>();

    const familyOf = <Value>(all: Map<string, Map<string, Value>>, name: string, shape: Family): Map<string, Value> => {
        const known = all.get(name);
        if (known !== undefined) {
            return known;
        }
        const created = new Map<string, Value>();
        all.set(name, created);
        families.set(name, shape);
        return created;
    };

    const count: Metrics["count"] = (name, help, labels = {}, by = 1) => {
        const values = familyOf(counters, name, { type: "counter", help });
        const key = labelText(labels);
        values.set(key, (values.get(key) ?? 0) + by);
    };

    const gauge: Metrics["gauge"] = (name, help, read, labels = {}) => {
        const values = familyOf(gauges, name, { type: "gauge", help });
        const key = labelText(labels);
        values.set(key, read);
        return () => {
            values.delete(key);
        };
    };

    const record: Metrics["record"] = (name, help, ms, labels = {}) => {
        const values = familyOf(histograms, name, { type: "summary", help });
        const key = labelText(labels);
        const known = values.get(key);
        const histogram = known ?? build({
            lowestDiscernibleValue: 1,
            highestTrackableValue: MAX_MS * MICROS_PER_MS,
            numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        });
        if (known === undefined) {
            values.set(key, histogram);
        }
        // A histogram would count NaN without keeping it, and throw on each rendering from then on.
        if (!Number.isNaN(ms)) {
            histogram.recordValue(Math.min(Math.max(0, Math.round(ms * MICROS_PER_MS)), MAX_MS * MICROS_PER_MS));
        }
    };

    const summaryLines = (name: string, key: string, histogram: Histogram): readonly string[] => {
        const prefix = key === "" ? "" : `${key},`;
        const quantiles = QUANTILES.map(q =>
            `${name}{${prefix}quantile="${q}"} ${histogram.getValueAtPercentile(q * PERCENT) / MICROS_PER_MS}`
        );
        const sum = histogram.mean * histogram.totalCount / MICROS_PER_MS;
        return [
            ...quantiles,
            `${seriesName(`${name}_sum`, key)} ${Number.isFinite(sum) ? sum : 0}`,
            `${seriesName(`${name}_count`, key)} ${histogram.totalCount}`,
        ];
    };

    const sampleLines = (name: string): readonly string[] => [
        ...[...counters.get(name) ?? []].map(([key, value]) => `${seriesName(name, key)} ${value}`),
        ...[...gauges.get(name) ?? []].map(([key, read]) => `${seriesName(name, key)} ${read()}`),
        ...[...histograms.get(name) ?? []].flatMap(([key, histogram]) => summaryLines(name, key, histogram)),
    ];

    const render: Metrics["render"] = () =>
        [...families].sort(([a], [b]) => (a < b ? -1 : 1))
            .flatMap(([name, { type, help }]) => [
                `# HELP ${name} ${help}`,
                `# TYPE ${name} ${type}`,
                ...sampleLines(name),
            ])
            .concat("")
            .join("\n");

    const series = (): number =>
        [counters, gauges, histograms].reduce(
            (sum, all) => [...all.values()].reduce((ofAll, values) => ofAll + values.size, sum),
            0,
        );

    return { count, gauge, record, render, series };
}
