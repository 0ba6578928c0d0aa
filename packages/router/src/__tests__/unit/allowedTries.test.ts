import test from "ava";

import { allowedTries } from "../../serve/allowedTries.js";

// Guards against tries that reached no endpoint using up the route's tries, so that a request fails although healthy
// engines are available, and against many tries of a request that all endpoints refuse.
const cases: readonly (readonly [maxTries: number, unreached: number, refused: number, allowed: number])[] = [
    [2, 0, 0, 2],
    [2, 1, 0, 3],
    [2, 2, 0, 4],
    [2, 40, 0, 42],
    [2, 0, 1, 3],
    [2, 0, 2, 4],
    [2, 0, 5, 4],
    [2, 3, 5, 7],
    [1, 0, 0, 1],
    [1, 1, 0, 2],
    [1, 0, 1, 2],
];

cases.forEach(([maxTries, unreached, refused, allowed]) => {
    test(`allowedTries: a route with ${maxTries} tries, ${unreached} reached no endpoint, ${refused} were refused`, t => {
        t.is(allowedTries(maxTries, unreached, refused), allowed);
    });
});
