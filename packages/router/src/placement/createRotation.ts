/**
 * Creates a function that returns some of a list, at each call the ones after those before.
 *
 * @param size how many are returned at most
 */
export function createRotation(size: number): <Value>(values: readonly Value[]) => readonly Value[] {
    const state = { next: 0 };
    return values => {
        const start = values.length === 0 ? 0 : state.next % values.length;
        state.next = start + size;
        return [...values.slice(start), ...values.slice(0, start)].slice(0, size);
    };
}
