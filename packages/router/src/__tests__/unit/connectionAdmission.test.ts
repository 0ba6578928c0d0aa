import test from "ava";

import { areDescriptorsUsed } from "../../serve/areDescriptorsUsed.js";
import { connectionAdmission } from "../../serve/connectionAdmission.js";

// Guards against callers that take the descriptors which readiness, the store, peers and endpoints need.
const FULL = { unanswered: 140, maxDescriptors: 400 };
const cases = [
    { name: "the limit is not known", served: 1e6, unanswered: 1e6, refused: 0, expected: "serve" },
    { name: "there is room", served: 104, refused: 0, ...FULL, unanswered: 104, expected: "serve" },
    { name: "there is room, as few of them send", served: 120, refused: 0, ...FULL, unanswered: 10, expected: "serve" },
    { name: "there is little room", served: 105, refused: 0, ...FULL, unanswered: 105, expected: "serve-once" },
    { name: "there is little room, all idle", served: 150, refused: 0, ...FULL, unanswered: 0, expected: "serve-once" },
    { name: "there is room again for one", served: 139, refused: 40, ...FULL, expected: "serve-once" },
    { name: "there is no room", served: 140, refused: 39, ...FULL, expected: "refuse" },
    { name: "there is no room, all idle", served: 200, refused: 39, ...FULL, unanswered: 0, expected: "refuse" },
    { name: "there is none for refusals either", served: 140, refused: 40, ...FULL, expected: "replace" },
    { name: "refused callers do not leave", served: 140, refused: 100, ...FULL, expected: "drop" },
] as const;
cases.forEach(({ name, expected, ...view }) => {
    test(`connection admission: ${name}`, t =>
        t.is(connectionAdmission({ maxDescriptors: undefined, ...view }), expected));
});

// Guards against requests that find no descriptor, as refused connections have them.
([
    {
        name: "the limit is not known",
        served: 1e6,
        unanswered: 1e6,
        refused: 1e6,
        maxDescriptors: undefined,
        expected: false,
    },
    { name: "some are left", served: 140, unanswered: 140, refused: 79, maxDescriptors: 400, expected: false },
    { name: "with those of requests", served: 140, unanswered: 140, refused: 80, maxDescriptors: 400, expected: true },
] as const).forEach(({ name, expected, ...view }) => {
    test(`descriptors that are for callers are used: ${name}`, t => t.is(areDescriptorsUsed(view), expected));
});
