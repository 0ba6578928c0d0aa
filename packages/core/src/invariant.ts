/**
 * Aborts the current operation if a condition that the code relies on is false.
 *
 * @param condition condition that must be true
 * @param code stable and unique code of the invariant, such as `AS-012`
 * @param message expected condition, for the log
 * @throws Error if the condition is false
 */
export function invariant(condition: unknown, code: string, message: string): asserts condition {
    if (!condition) {
        throw new Error(`${code}: ${message}`);
    }
}
