/**
 * Ends a step of the demonstration that went wrong.
 *
 * @throws Error that tells what was expected and what was seen
 */
export function expectThat(condition: boolean, expected: string, seen: unknown): asserts condition {
    if (!condition) {
        throw new Error(`expected ${expected}; seen ${JSON.stringify(seen)}`);
    }
}
