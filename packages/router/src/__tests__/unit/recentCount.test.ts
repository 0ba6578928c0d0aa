import test from "ava";

import { createRecentCount } from "../../serve/createRecentCount.js";

// Guards against a count that is read again for each request, and against one that stays after the members have changed.
test("recent count: it is read anew once it is 100 ms old", t => {
    const state = { now: 0, count: 3, reads: 0 };
    const recent = createRecentCount({ now: () => state.now }, () => {
        state.reads += 1;
        return state.count;
    });
    t.is(recent(), 3);
    state.count = 4;
    state.now = 99;
    t.is(recent(), 3);
    t.is(state.reads, 1);
    state.now = 100;
    t.is(recent(), 4);
    t.is(state.reads, 2);
});
