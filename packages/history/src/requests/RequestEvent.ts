/** One stream as its caller received it. */
type ReceivedStream = {
    readonly kind: "stream";
    readonly id: string;
    readonly organisation: string;
    /** Unique in the history, so that each engine run can be matched to its stream. */
    readonly promptTokens: number;
    /** Tokens requested. */
    readonly maxTokens: number;
    readonly status: number;
    /** Token positions in the order in which they arrived. */
    readonly positions: readonly number[];
    readonly text: string;
    /** Whether the last event was marked as the last. */
    readonly finished: boolean;
    /** `done`: by `[DONE]`. `error`: by an error event or status. `cut`: without either, or by a broken connection. */
    readonly ended: "done" | "error" | "cut";
    readonly code: string | undefined;
    readonly ran: string | undefined;
    /** Whether the caller's daemon was killed while the stream ran, so that it may end early. */
    readonly daemonKilled: boolean;
    /** Whether the prompt crashes engines. */
    readonly crashes: boolean;
};

/** One call to a plain service as its caller observed it. */
type ObservedCall = {
    readonly kind: "call";
    readonly id: string;
    readonly organisation: string;
    readonly key: string | undefined;
    readonly path: string;
    /** 0 if no answer arrived. */
    readonly status: number;
    readonly code: string | undefined;
    readonly ran: string | undefined;
    readonly body: string;
};

/** One run of a call, from the plain service's own history. */
type ServiceRun = {
    readonly kind: "service-run";
    readonly endpoint: string;
    readonly organisation: string;
    readonly key: string | undefined;
    readonly path: string;
};

/** One run of a request, from the engine's own history. */
type EngineRun = {
    readonly kind: "engine-run";
    readonly endpoint: string;
    readonly organisation: string;
    readonly promptTokens: number;
};

/** The complete answer to a prompt, received while no fault was injected. */
type Reference = { readonly kind: "reference"; readonly promptTokens: number; readonly text: string; };

/** The death of an engine that a prompt crashed. */
type EngineCrash = { readonly kind: "engine-crash"; readonly endpoint: string; };

/** One entry of a history of requests: what callers received, what endpoints ran, and what was expected. */
export type RequestEvent = ReceivedStream | ObservedCall | ServiceRun | EngineRun | Reference | EngineCrash;
