import test from "ava";

import { priorityOf } from "../../serve/priorityOf.js";

type Ranked = { readonly name: string; readonly organisation: number | undefined; readonly route: number; };

/*
 * Urgent short prompts and long ones wait at the same engine, from organisations that have ranks of their own. The caller
 * of a short answer must not wait behind prompts that take a tenth of a second each, nor go before a higher organisation.
 */
const ranked: readonly (readonly [first: Ranked, second: Ranked])[] = [
    [{ name: "its urgent route", organisation: 1, route: 0 }, { name: "its other route", organisation: 1, route: 1 }],
    [{ name: "the higher organisation", organisation: 0, route: 2 }, {
        name: "a lower one",
        organisation: 1,
        route: 0,
    }],
    [{ name: "a public urgent route", organisation: undefined, route: 0 }, {
        name: "a public other route",
        organisation: undefined,
        route: 1,
    }],
];
ranked.forEach(([first, second]) => {
    test(`priorityOf: ${first.name} goes before ${second.name}`, t => {
        const rank = ({ organisation, route }: Ranked): number =>
            priorityOf({ priority: organisation }, { priority: route });
        t.true(rank(first) < rank(second));
    });
});

test("priorityOf: however low a route is, it stays within its organisation's ranks", t => {
    t.true(priorityOf({ priority: 1 }, { priority: 7 }) < priorityOf({ priority: 2 }, { priority: 0 }));
});
