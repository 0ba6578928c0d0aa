/** Time limits and fractions that keep refusals below what brittle endpoints bear. */
const brittleTiming = {
    /** Endpoints count as brittle for this long after one last said so; a VM with few requests gets few answers. */
    brittleMs: 5_000,
    /** Fraction of the refusals that all VMs together plan for; the rest is for requests that arrive at once. */
    usedFraction: 0.5,
    /** Refusals are counted by the second, so a VM's next ones fall into another one. */
    minPauseMs: 1_000,
    maxPauseMs: 10_000,
} as const;

export { brittleTiming };
