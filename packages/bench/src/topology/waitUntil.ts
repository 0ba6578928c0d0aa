const POLL_MS = 20;

/**
 * Waits until a condition holds.
 *
 * @param what what is waited for, for the error
 * @param boundMs longest wait in milliseconds
 * @param holds the condition; a rejection counts as not yet
 * @returns milliseconds waited
 * @throws Error when the bound is over
 */
export async function waitUntil(
    what: string,
    boundMs: number,
    holds: () => Promise<boolean> | boolean,
): Promise<number> {
    const begun = performance.now();
    const check = async (): Promise<number> => {
        if (await Promise.resolve().then(holds).catch(() => false)) {
            return performance.now() - begun;
        }
        if (performance.now() - begun > boundMs) {
            throw new Error(`expected ${what} within ${boundMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
        return check();
    };
    return check();
}
