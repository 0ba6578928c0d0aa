/** Time limits of `PeerHistory`, in milliseconds. */
const peerTiming = {
    /** How long a peer that could not help comes after all others. */
    avoidMs: 2_000,
    /** How long the peers of a failure domain are asked after those of others once these have outdone them. */
    outdoneMs: 1_000,
    /** How long a peer that opened a connection counts as one that reaches endpoints. */
    helperMs: 10_000,
    /** How long a peer that was named is remembered. */
    namedMs: 10_000,
} as const;

export { peerTiming };
