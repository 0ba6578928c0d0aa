/** One stream as its caller read it. */
type ReadStream = {
    readonly kind: "stream";
    readonly id: string;
    readonly organisation: string;
    /** Number of prompt tokens; unique in the history, so that engines' runs can be told apart. */
    readonly promptTokens: number;
    /** Tokens asked for. */
    readonly maxTokens: number;
    readonly status: number;
    /** Positions in the order in which they came. */
    readonly positions: readonly number[];
    readonly text: string;
    /** Whether the last piece was marked as the last. */
    readonly finished: boolean;
    /** `done`: `[DONE]`. `error`: an error event or an error status. `cut`: neither, or the connection broke. */
    readonly ended: "done" | "error" | "cut";
    readonly code: string | undefined;
    readonly ran: string | undefined;
    /** Whether the caller's daemon was killed while it ran; then it may break off. */
    readonly daemonKilled: boolean;
    /** Whether its prompt crashes engines. */
    readonly crashes: boolean;
};

/** One call to a plain service as its caller saw it. */
type SeenCall = {
    readonly kind: "call";
    readonly id: string;
    readonly organisation: string;
    readonly key: string | undefined;
    readonly path: string;
    /** 0 when no answer came. */
    readonly status: number;
    readonly code: string | undefined;
    readonly ran: string | undefined;
    readonly body: string;
};

/** One run at a plain service, from its own history. */
type ServiceRun = {
    readonly kind: "service-run";
    readonly endpoint: string;
    readonly organisation: string;
    readonly key: string | undefined;
    readonly path: string;
};

/** One run at an engine, from its own history. */
type EngineRun = {
    readonly kind: "engine-run";
    readonly endpoint: string;
    readonly organisation: string;
    readonly promptTokens: number;
};

/** The whole text of a prompt's answer, read without faults. */
type Reference = { readonly kind: "reference"; readonly promptTokens: number; readonly text: string; };

/** An engine that died of a prompt. */
type EngineCrash = { readonly kind: "engine-crash"; readonly endpoint: string; };

/** One entry of a history of callers' requests. */
export type RequestEvent = ReadStream | SeenCall | ServiceRun | EngineRun | Reference | EngineCrash;
