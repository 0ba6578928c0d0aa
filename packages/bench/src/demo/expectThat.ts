/**
 * Asserts a condition of a step.
 *
 * @throws Error with what was expected and what was seen if the condition does not hold
 */
export function expectThat(condition: boolean, expected: string, seen: unknown): asserts condition {
    if (!condition) {
        throw new Error(`expected ${expected}; seen ${JSON.stringify(seen)}`);
    }
}
