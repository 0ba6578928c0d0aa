/** Runs the actions of a simulation in order of time. */
type Scheduler = {
    readonly now: () => number;
    readonly at: (time: number, action: () => void) => void;
    readonly run: (until: number) => void;
};

/** Creates a scheduler that starts at time 0. Actions at the same time run in the order in which they were added. */
export function createScheduler(): Scheduler {
    const clock = { now: 0, added: 0 };
    const heap: { readonly time: number; readonly order: number; readonly action: () => void; }[] = [];
    const isBefore = (a: number, b: number): boolean => {
        const [x, y] = [heap[a]!, heap[b]!];
        return x.time < y.time || (x.time === y.time && x.order < y.order);
    };
    const swap = (a: number, b: number): void => {
        [heap[a], heap[b]] = [heap[b]!, heap[a]!];
    };
    const up = (i: number): void => {
        const parent = (i - 1) >> 1;
        if (i > 0 && isBefore(i, parent)) {
            swap(i, parent);
            up(parent);
        }
    };
    const down = (i: number): void => {
        const least = [2 * i + 1, 2 * i + 2]
            .filter(child => child < heap.length)
            .reduce((best, child) => isBefore(child, best) ? child : best, i);
        if (least !== i) {
            swap(i, least);
            down(least);
        }
    };
    const next = () => {
        const top = heap[0]!;
        const last = heap.pop()!;
        if (heap.length > 0) {
            heap[0] = last;
            down(0);
        }
        return top;
    };
    return {
        now: () => clock.now,
        at: (time, action) => {
            heap.push({ time: Math.max(time, clock.now), order: clock.added++, action });
            up(heap.length - 1);
        },
        run: until => {
            while (heap.length > 0 && heap[0]!.time <= until) {
                const { time, action } = next();
                clock.now = time;
                action();
            }
            clock.now = until;
        },
    };
}
