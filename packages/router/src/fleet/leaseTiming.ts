/** Times of the order lease that all VMs have to agree on, in milliseconds. */
const leaseTiming = {
    /** How long a holder gives orders after it asked for the lease; it renews while it has more to give. */
    holdMs: 1_500,
    /** For clocks of different rates and for orders on their way. */
    marginMs: 400,
    /** Between the claims of one VM and the next in line, so that they do not race. */
    staggerMs: 300,
} as const;

export { leaseTiming };
