/** One sample of a daemon's `/metrics` endpoint. */
type MetricSample = { readonly name: string; readonly labels: string; readonly value: number; };

const SAMPLE_LINE = /^([a-zA-Z_:][a-zA-Z0-9_:]*)(\{[^}]*\})?\s+(-?[0-9.eE+-]+)/;

/** Parses the Prometheus text format. Lines that are no samples are skipped. */
export function parseMetrics(text: string): readonly MetricSample[] {
    return text.split("\n").flatMap(line => {
        const match = SAMPLE_LINE.exec(line);
        return match === null ? [] : [{ name: match[1] ?? "", labels: match[2] ?? "", value: Number(match[3]) }];
    });
}
