/** A request that joined the batch. */
type RunEntry = {
    readonly kind: "run";
    readonly organisation: string | undefined;
    readonly dispatchId: string | undefined;
    readonly model: string;
    readonly adapter: string | undefined;
    readonly version: string;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly resumeFrom: number;
    readonly priority: number;
    readonly pieces: readonly string[];
    /** When its last byte had arrived, in milliseconds since the epoch. */
    readonly arrivedAt: number;
    /** When it joined the batch. */
    readonly at: number;
};

/** A request that left the engine after `tokens` tokens of its answer were generated here. */
type EndEntry = {
    readonly kind: "end";
    readonly dispatchId: string | undefined;
    readonly outcome: "complete" | "cancelled";
    readonly tokens: number;
    /** When the first of them was generated; `undefined` if none was. */
    readonly firstTokenAt: number | undefined;
    readonly at: number;
};

/** A change of the cache. Unlike cache events, it is recorded at once and never lost. */
type CacheEntry = {
    readonly kind: "cache";
    readonly stored: readonly string[];
    readonly removed: readonly string[];
    readonly at: number;
};

/** The start of a process; entries before it in a file belong to earlier incarnations. */
type StartEntry = { readonly kind: "start"; readonly incarnation: string; readonly at: number; };

/** One line of a model engine's history. */
type EngineEntry = RunEntry | EndEntry | CacheEntry | StartEntry;

export type { EngineEntry, RunEntry };
