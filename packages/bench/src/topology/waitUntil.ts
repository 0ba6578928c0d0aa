const POLL_MS = 20;

/**
 * Polls a condition until it is true.
 *
 * @param description what is awaited, for the error message
 * @param condition an error or a rejection counts as false
 * @returns milliseconds waited
 * @throws Error on timeout
 */
export async function waitUntil(
    description: string,
    timeoutMs: number,
    condition: () => Promise<boolean> | boolean,
): Promise<number> {
    const startedAt = performance.now();
    const check = async (): Promise<number> => {
        if (await Promise.resolve().then(condition).catch(() => false)) {
            return performance.now() - startedAt;
        }
        if (performance.now() - startedAt > timeoutMs) {
            throw new Error(`expected ${description} within ${timeoutMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
        return check();
    };
    return check();
}
