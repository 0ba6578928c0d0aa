import test from "ava";

import { priorityOf } from "../../serve/priorityOf.js";

type Ranked = { readonly name: string; readonly organisation: number | undefined; readonly route: number; };

// A short urgent prompt waits behind long ones, or goes before a higher organisation.
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
