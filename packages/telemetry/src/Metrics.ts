/** Labels of one sample. Values come from closed lists or from the configuration, never from callers' input. */
type Labels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms served at `/metrics`. A name is registered with its help text at its first use. */
export type Metrics = {
    readonly count: (name: string, help: string, labels?: Labels, by?: number) => void;
    /** Registers a gauge that is read on every `render`; returns a function that unregisters it. */
    readonly gauge: (name: string, help: string, read: () => number, labels?: Labels) => () => void;
    /** Records a duration in a histogram; one that is NaN is left out. */
    readonly record: (name: string, help: string, ms: number, labels?: Labels) => void;
    /** Returns all metrics in Prometheus' text format. */
    readonly render: () => string;
};
