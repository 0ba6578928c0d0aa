type Waiting = {
    /** Less urgent ones have higher numbers. */
    readonly priority: number;
    readonly arrivedAt: number;
};

/** Returns waiting requests in the order in which they are refused for memory: the least urgent ones first, latest first. */
export function leastUrgentFirst<T extends Waiting>(waiting: Iterable<T>): readonly T[] {
    return [...waiting].sort((a, b) => b.priority - a.priority || b.arrivedAt - a.arrivedAt);
}
