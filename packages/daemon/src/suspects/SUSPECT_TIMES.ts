/** Bounds of what VMs ask and tell one another about endpoints that died, in milliseconds. */
const SUSPECT_TIMES = {
    /** For a VM to say what it ran on an endpoint. */
    askBoundMs: 2_000,
    /** Between two askings of a VM that has not answered, and for how long it is asked. */
    askAgainMs: 500,
    askForMs: 30_000,
    tellBoundMs: 1_000,
    /** For the judgement of a first death; the request then goes on as a suspect. */
    firstDeathWaitMs: 300,
} as const;

export { SUSPECT_TIMES };
