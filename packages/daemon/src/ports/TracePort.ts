import type { RequestId } from "@azureshunt/core";

/** One event of a request. `what` is a short description; `values` must not contain keys or prompts. */
type TraceEvent = {
    readonly at: number;
    readonly what: string;
    readonly values: Readonly<Record<string, string | number | undefined>>;
};

/** Keeps the events of the most recent requests, for `azureshunt why`. */
export type TracePort = {
    readonly add: (id: RequestId, what: string, values?: TraceEvent["values"]) => void;
    /** Returns the events of a request in order; undefined if none are kept. */
    readonly get: (id: RequestId) => readonly TraceEvent[] | undefined;
};
