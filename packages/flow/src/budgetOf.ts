const BYTES_PER_MB = 1024 * 1024;
/** The rest of a VM's memory is for the program, its state, the connections and what is not collected yet. */
const FRACTION = 0.06;
/** Answers that are read at all need no more; a larger budget would only be filled by callers that read nothing. */
const MAX_MB = 16;

/** Returns the byte budget of a VM with this much memory; without a size there is no bound on the sum. */
export function budgetOf(memoryMb: number | undefined): number {
    return memoryMb === undefined ? Infinity : Math.min(MAX_MB, memoryMb * FRACTION) * BYTES_PER_MB;
}
