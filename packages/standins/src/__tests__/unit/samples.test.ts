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
    test(`samples: the value that held at ${at}`, t => {
        t.is(sampleAt(SAMPLES, at), value);
    })
);

[
    { name: "all samples that may still be read are kept", keepFrom: 5, at: [10, 20, 30, 40] },
    { name: "the sample that held at the start of the kept time is kept", keepFrom: 25, at: [20, 30, 40] },
    { name: "older samples are dropped", keepFrom: 35, at: [30, 40] },
].forEach(({ name, keepFrom, at }) =>
    test(`samples: ${name}`, t => {
        t.deepEqual(addSample(SAMPLES, { at: 40, value: "d" }, keepFrom).map(sample => sample.at), at);
    })
);
