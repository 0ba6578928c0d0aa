import test from "ava";

import { nextReturn } from "../../nextReturn.js";

// Guards against callers that are refused together and come back together.
test("next return: callers come back no faster than requests are taken, and within five seconds", t => {
    const returns = Array.from({ length: 40 }).reduce<readonly number[]>(
        times => [...times, nextReturn({ lastAt: times.at(-1) ?? -Infinity, perSecond: 5, random: 0.5 }, 1_000)],
        [],
    );
    t.deepEqual(returns.slice(0, 4), [1_250, 1_450, 1_650, 1_850]);
    t.true(returns.every(at => at >= 1_250 && at <= 6_000));
});

test("next return: if hardly anything is taken, callers are spread over the later half of the longest delay", t => {
    [0, 0.5, 0.9].forEach(random => {
        const at = nextReturn({ lastAt: 0, perSecond: 0, random }, 0);
        t.true(at >= 2_500 && at <= 5_000);
    });
});
