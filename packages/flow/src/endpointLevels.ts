/** Bounds on the bodies that an endpoint has not read, of all VMs together. */
const endpointLevels = {
    /** Bound of an endpoint that has not died with unread bodies. */
    initialBytes: 1024 * 1024,
    /** Fraction of the bodies that were unread at a death that the bound is lowered to. */
    lowered: 0.5,
    /** The bound rises by this fraction of itself for each `riseMs` without a death. */
    rise: 0.25,
    riseMs: 10_000,
} as const;

export { endpointLevels };
