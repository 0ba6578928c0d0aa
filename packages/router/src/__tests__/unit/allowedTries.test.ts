import test from "ava";

import { allowedTries } from "../../serve/allowedTries.js";

// Guards against tries that reached no endpoint using up the route's tries, so that a request fails although healthy
// engines are available.
const cases: readonly (readonly [maxTries: number, notRun: number, allowed: number])[] = [
    [2, 0, 2],
    [2, 1, 3],
    [2, 2, 4],
    [2, 5, 4],
    [1, 0, 1],
    [1, 1, 2],
];

cases.forEach(([maxTries, notRun, allowed]) => {
    test(`allowedTries: a route with ${maxTries} tries, ${notRun} tries not run`, t => {
        t.is(allowedTries(maxTries, notRun), allowed);
    });
});
