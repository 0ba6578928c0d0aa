/** Time limits of tunnels, in milliseconds. */
const tunnelTiming = {
    /** For a connection to an endpoint, over an own link or a tunnel: tens of round trips inside a region. */
    connectMs: 200,
    /** For the connection that a peer opens. The rest of `connectMs` is left for another peer. */
    peerConnectMs: 100,
    /** How long a peer opens no more connections to an endpoint that did not answer one. */
    silentMs: 500,
    /** How often a VM that is cut off probes an own link while peers ask it for connections. */
    probeIntervalMs: 1_000,
    /** For a peer's answer. It says within `peerConnectMs` whether it reaches the endpoint. */
    answerMs: 130,
    /** How long a peer may take to answer before another one is asked as well: many round trips inside a region. */
    peerHeadStartMs: 25,
    /** A tunnel that carries nothing for this long is reset, as its VM may be gone: longer than any pause in an answer. */
    idleMs: 60_000,
    /** For a carrier's answer to the question how a tunnel ended, which it knows at once. */
    confirmMs: 300,
    /** How often a VM that stops asks the others to close the tunnels that are left. */
    drainNoticeMs: 1_000,
} as const;

export { tunnelTiming };
