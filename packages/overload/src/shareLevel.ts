/**
 * Returns the level up to which each group is admitted, so that what is admitted of all adds up to `admitted` (max-min
 * fairness): a group with fewer requests is admitted whole, and none below `minFraction` of its own requests.
 *
 * The sum is piecewise linear in the level. A group adds to its slope from its least admitted number up to its number of
 * requests. Both are in the order of the requests, so one sorted list gives all bends.
 *
 * @param admitted between `minFraction` of all requests and all of them
 */
export function shareLevel(recents: readonly number[], admitted: number, minFraction: number): number {
    // Sorted once per tick while a VM is short of CPU time; with an object per bend, a tick with
    // 256 organisations took more than twice as long.
    const sorted = Float64Array.from(recents).sort();
    const total = sorted.reduce((sum, recent) => sum + recent, 0);
    const state = { begun: 0, ended: 0, level: 0, left: admitted - total * minFraction };
    while (state.ended < sorted.length) {
        const beginsAt = state.begun < sorted.length ? (sorted[state.begun] ?? 0) * minFraction : Infinity;
        const endsAt = sorted[state.ended] ?? Infinity;
        const slope = state.begun - state.ended;
        const gain = (Math.min(beginsAt, endsAt) - state.level) * slope;
        if (gain >= state.left) {
            return slope === 0 ? state.level : state.level + state.left / slope;
        }
        state.left -= gain;
        state.level = Math.min(beginsAt, endsAt);
        if (beginsAt <= endsAt) {
            state.begun += 1;
        }
        else {
            state.ended += 1;
        }
    }
    return state.level;
}
