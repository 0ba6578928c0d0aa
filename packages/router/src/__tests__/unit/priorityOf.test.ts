import test from "ava";

import { priorityOf } from "../../serve/priorityOf.js";

type Ranked = { readonly name: string; readonly organisation: number | undefined; readonly route: number; };

// Guards against a short urgent prompt waiting behind long ones, or going before a request of a higher organisation.
const ranked: readonly (readonly [first: Ranked, second: Ranked])[] = [
    [{ name: "an urgent route", organisation: 1, route: 0 }, {
        name: "another route of the same organisation",
        organisation: 1,
        route: 1,
    }],
    [{ name: "a higher organisation", organisation: 0, route: 2 }, {
        name: "an urgent route of a lower one",
        organisation: 1,
        route: 0,
    }],
    [{ name: "a public urgent route", organisation: undefined, route: 0 }, {
        name: "another public route",
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

test("priorityOf: the lowest route of an organisation goes before the most urgent route of a lower organisation", t => {
    t.true(priorityOf({ priority: 1 }, { priority: 7 }) < priorityOf({ priority: 2 }, { priority: 0 }));
});
