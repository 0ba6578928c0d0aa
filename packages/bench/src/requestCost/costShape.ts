/** Shape of the requests and answers of the load, the same for the router and the bare proxy. */
const costShape = {
    host: "a.example",
    key: "key",
    model: "m",
    plainPath: "/look/1",
    streamPath: "/tag/1",
    /** Bytes of the body of a plain request. */
    requestBytes: 800,
    /** Events of a stream, and the time between two of them. */
    events: 48,
    eventGapMs: 4,
    promptTokens: 2_368,
    outputTokens: 48,
    sharedTokens: 568,
} as const;

export { costShape };
