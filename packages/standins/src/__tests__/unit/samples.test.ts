import test from "ava";

import { addSample } from "../../common/addSample.js";
import { sampleAt } from "../../common/sampleAt.js";

const SAMPLES = [{ at: 10, value: "a" }, { at: 20, value: "b" }, { at: 30, value: "c" }];

[
    { at: 5, value: "a" },
    { at: 10, value: "a" },
    { at: 29, value: "b" },
    { at: 99, value: "c" },
].forEach(({ at, value }) =>
    test(`samples: what held at ${at}`, t => {
        t.is(sampleAt(SAMPLES, at), value);
    })
);

[
    { name: "all are kept while one may be asked for", keepFrom: 5, at: [10, 20, 30, 40] },
    { name: "the one that held then is kept", keepFrom: 25, at: [20, 30, 40] },
    { name: "only the newest two", keepFrom: 35, at: [30, 40] },
].forEach(({ name, keepFrom, at }) =>
    test(`samples: ${name}`, t => {
        t.deepEqual(addSample(SAMPLES, { at: 40, value: "d" }, keepFrom).map(sample => sample.at), at);
    })
);
