import test from "ava";

import { allowedTries } from "../../serve/allowedTries.js";

/*
 * Two engines die at once. A request's first try breaks off at one, its second does not reach the other. Its caller was
 * told that it failed, though a dozen sound engines stood by and only one had run it.
 */
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
