const POLL_MS = 5;

/** Waits until something holds. */
export async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
