/** Times of the order lease in milliseconds; the same on all VMs. */
const leaseTiming = {
    /** Time for which a holder issues orders after it requested the lease; it renews while it has more to issue. */
    holdMs: 1_500,
    /** Allows for clocks of different rates and for orders in transit. */
    marginMs: 400,
    /** Between the claims of VMs of successive ranks, so that they do not race. */
    staggerMs: 300,
} as const;

export { leaseTiming };
