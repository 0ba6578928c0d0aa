import test from "ava";

import { fitLine } from "../../slopes/fitLine.js";

[
    {
        name: "of two points runs through both",
        points: [{ items: 0, value: 3 }, { items: 2, value: 7 }],
        perItem: 2,
        fixed: 3,
    },
    {
        name: "of equal values is level",
        points: [{ items: 1, value: 5 }, { items: 9, value: 5 }],
        perItem: 0,
        fixed: 5,
    },
    {
        name: "least squares if the points are not on a line",
        points: [{ items: 0, value: 0 }, { items: 1, value: 2 }, { items: 2, value: 1 }],
        perItem: 0.5,
        fixed: 0.5,
    },
].forEach(({ name, points, perItem, fixed }) =>
    test(`line: ${name}`, t => {
        const line = fitLine(points);
        t.true(Math.abs(line.perItem - perItem) < 1e-9);
        t.true(Math.abs(line.fixed - fixed) < 1e-9);
    })
);
