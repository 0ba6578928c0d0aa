import test from "ava";

import { rolloutOf } from "../../fleet/rolloutOf.js";
import { createStreamPace } from "../../serve/createStreamPace.js";
import { engineOf } from "../support/engineOf.js";

const order = { version: 2, givenAt: 0, seenAt: 0, isOwn: true };

const rollouts = [
    {
        name: "all are there",
        engines: [engineOf("e", { version: 2 })],
        told: { outdated: 0, ordered: 0, unreachable: 0 },
    },
    { name: "one waits", engines: [engineOf("e", {})], told: { outdated: 1, ordered: 0, unreachable: 0 } },
    { name: "one takes them", engines: [engineOf("e", { order })], told: { outdated: 1, ordered: 1, unreachable: 0 } },
    {
        name: "one cannot be reached, another is there",
        engines: [engineOf("e", { isUp: false }), engineOf("e", { version: 2, isUp: false })],
        told: { outdated: 1, ordered: 0, unreachable: 1 },
    },
];

rollouts.forEach(({ name, engines, told }) => {
    test(`rollout: ${name}`, t => {
        t.deepEqual(rolloutOf(engines, 2), told);
    });
});

/** When each event came and when the caller's connection had taken it, in milliseconds. */
const paces = [
    { name: "no event", events: [], pauseMs: 0, sendMs: 0 },
    { name: "a pause at the endpoint", events: [[0, 1], [700, 701], [720, 721]], pauseMs: 700, sendMs: 1 },
    { name: "a wait in this VM", events: [[0, 350], [20, 350], [40, 360]], pauseMs: 20, sendMs: 350 },
] as const;

paces.forEach(({ name, events, pauseMs, sendMs }) => {
    test(`stream pace: ${name}`, t => {
        const clock = { now: 0 };
        const pace = createStreamPace(() => clock.now);
        const taken = events.map(([at]) => {
            clock.now = at;
            return pace.passing();
        });
        taken.forEach((done, i) => {
            clock.now = events[i]?.[1] ?? 0;
            done();
        });
        t.is(pace.longestPauseMs(), pauseMs);
        t.is(pace.longestSendMs(), sendMs);
    });
});
