import type { RequestId } from "@azureshunt/core";

/** One thing that happened to a request. `what` is a short sentence; values hold no key and no prompt. */
type TraceEvent = {
    readonly at: number;
    readonly what: string;
    readonly values: Readonly<Record<string, string | number | undefined>>;
};

/** Remembers what happened to the newest requests, for `azureshunt why`. */
export type TracePort = {
    readonly add: (id: RequestId, what: string, values?: TraceEvent["values"]) => void;
    /** The events of a request in order; undefined when it is not remembered. */
    readonly get: (id: RequestId) => readonly TraceEvent[] | undefined;
};
