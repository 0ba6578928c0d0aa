/** Labels of one sample. Values come from closed lists or from the configuration, never from callers. */
type Labels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms that `/metrics` shows. A name is registered with its help text at first use. */
export type Metrics = {
    readonly count: (name: string, help: string, labels?: Labels, by?: number) => void;
    /** Registers a gauge that is read whenever `/metrics` is; returns the function that unregisters it. */
    readonly gauge: (name: string, help: string, read: () => number, labels?: Labels) => () => void;
    /** Records milliseconds into a histogram. */
    readonly record: (name: string, help: string, ms: number, labels?: Labels) => void;
    /** All of it in Prometheus' text format. */
    readonly render: () => string;
};
