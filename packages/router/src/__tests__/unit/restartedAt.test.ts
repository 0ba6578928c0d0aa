import test from "ava";

import { createObservations } from "../../placement/createObservations.js";
import { entryOf } from "../support/entryOf.js";

// An engine that only lost its entry for a while is held back as if it had started again, and stays on old weights.

const AT = 5_000;

const cases = [
    { name: "an endpoint seen for the first time", earlier: undefined, leaves: false, restartedAt: -Infinity },
    { name: "a new start of a known endpoint", earlier: 1, leaves: false, restartedAt: AT },
    { name: "a new start of an endpoint that had left", earlier: 1, leaves: true, restartedAt: AT },
    { name: "an endpoint that returns without a new start", earlier: 2, leaves: true, restartedAt: -Infinity },
];

cases.forEach(({ name, earlier, leaves, restartedAt }) => {
    test(`restarted endpoints: ${name}`, t => {
        const time = { now: 0 };
        const observations = createObservations({ now: () => time.now, epoch: () => time.now }, () => undefined);
        if (earlier !== undefined) {
            observations.of(entryOf("e", { bornAt: earlier }));
        }
        if (leaves) {
            observations.drop(entryOf("e").name);
        }
        time.now = AT;
        t.is(observations.of(entryOf("e", { bornAt: 2 })).restartedAt, restartedAt);
    });
});
