/** What the callers of a run send: plain requests, or requests that are answered by a stream. */
export type CostKind = "plain" | "stream";
