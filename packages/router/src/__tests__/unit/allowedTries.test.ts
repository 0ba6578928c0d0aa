import test from "ava";

import { allowedTries } from "../../serve/allowedTries.js";

// A try that reached nobody uses up the route's tries, and a request fails though sound engines stand by.
const cases: readonly (readonly [maxTries: number, notRun: number, allowed: number])[] = [
    [2, 0, 2],
    [2, 1, 3],
    [2, 2, 4],
    [2, 5, 4],
    [1, 0, 1],
    [1, 1, 2],
];

cases.forEach(([maxTries, notRun, allowed]) => {
    test(`allowedTries: of ${maxTries}, ${notRun} not run`, t => {
        t.is(allowedTries(maxTries, notRun), allowed);
    });
});
