import test from "ava";

import { createUrgentSender } from "../../peers/createUrgentSender.js";
import { watchOrders } from "../../serve/watchOrders.js";

const LINK_MS = 3;

type Case = {
    readonly name: string;
    /** When the VM that orders has sent urgent state before; `undefined` if it has not. */
    readonly sentAt?: number;
    /** When the engines of a wave are ordered, the stream's engine first. */
    readonly orderedAt: readonly number[];
    readonly targets: number;
};

const cases: readonly Case[] = [
    { name: "three engines at once", orderedAt: [100, 100, 100], targets: 5 },
    { name: "three engines, as their reports come in", orderedAt: [100, 102, 106], targets: 5 },
    { name: "three engines, the last one 30 ms later", orderedAt: [100, 102, 130], targets: 5 },
    { name: "three engines, right after another update", sentAt: 95, orderedAt: [100, 102, 106], targets: 5 },
];

/** Timers of a simulated VM pair; `run` plays them in the order in which they are due. */
const createTimers = () => {
    const state = { now: 0, timers: [] as readonly { readonly at: number; readonly run: () => void; }[] };
    return {
        clock: { now: () => state.now, epoch: () => state.now },
        schedule: (delayMs: number, run: () => void) => {
            const timer = { at: state.now + delayMs, run };
            state.timers = [...state.timers, timer];
            return () => {
                state.timers = state.timers.filter(each => each !== timer);
            };
        },
        run: (untilMs: number): void => {
            for (;;) {
                const [next] = [...state.timers].sort((a, b) => a.at - b.at);
                if (next === undefined || next.at > untilMs) {
                    return;
                }
                state.timers = state.timers.filter(each => each !== next);
                state.now = next.at;
                next.run();
            }
        },
    };
};

// Guards against a stream leaving its engine for one that has been ordered too, which this VM does not know yet: an engine
// keeps a place although it has been ordered, and refuses the request then.
cases.forEach(({ name, sentAt, orderedAt, targets }) => {
    test(`order wave: a stream leaves once all orders are known: ${name}`, t => {
        const { clock, schedule, run } = createTimers();
        const known = { ordered: 0, received: 0, whenLeaving: undefined as number | undefined };
        const listeners = new Set<() => void>();
        const sender = createUrgentSender({
            clock,
            schedule,
            send: () => {
                const { ordered } = known;
                schedule(LINK_MS, () => {
                    const isFirst = known.received === 0 && ordered > 0;
                    known.received = ordered;
                    if (isFirst) {
                        listeners.forEach(each => each());
                    }
                });
                return targets;
            },
            maxGapMs: () => undefined,
        });
        watchOrders({
            onOrdered: listener => {
                listeners.add(listener);
                return () => void listeners.delete(listener);
            },
            schedule,
            reserve: () => {
                known.whenLeaving ??= known.received;
                return Promise.resolve(undefined);
            },
        }, () => undefined);
        if (sentAt !== undefined) {
            schedule(sentAt, sender.sendSoon);
        }
        orderedAt.forEach(at =>
            schedule(at, () => {
                known.ordered += 1;
                sender.sendSoon();
            })
        );
        run(500);
        sender.stop();
        t.is(known.whenLeaving, orderedAt.length);
    });
});
