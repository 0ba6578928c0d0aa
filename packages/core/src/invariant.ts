/**
 * Stops the current operation when something holds no longer that the code relies on.
 *
 * @param condition what must hold
 * @param code stable code of the invariant, such as `AS-012`, listed nowhere else in the code
 * @param message what was expected, for the log
 * @throws Error when the condition is false
 */
export function invariant(condition: unknown, code: string, message: string): asserts condition {
    if (!condition) {
        throw new Error(`${code}: ${message}`);
    }
}
