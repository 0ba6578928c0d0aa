/** Bounds of what VMs ask and tell one another about endpoints that died, in milliseconds. */
const SUSPECT_TIMES = {
    /** For a VM to say what it ran on an endpoint. */
    askBoundMs: 2_000,
    /** Between two askings of a VM that has not answered, and for how long it is asked. */
    askAgainMs: 500,
    askForMs: 30_000,
    /** For a VM to take in what it is told, and until one that has not is told again. */
    tellBoundMs: 1_000,
    tellAgainMs: 250,
    tellForMs: 60_000,
    /** For all VMs to be told before a request that crashes endpoints is refused, as its caller may turn to any of them. */
    toldBoundMs: 2_000,
    /** For the judgement of a first death; the request then goes on as a suspect. */
    firstDeathWaitMs: 300,
    /** For the endpoint of a broken try to show whether it has died, before the request runs again. */
    probedBoundMs: 2_000,
    /** For a VM to say whether a suspect may run beside what it runs. */
    admitBoundMs: 1_000,
} as const;

export { SUSPECT_TIMES };
