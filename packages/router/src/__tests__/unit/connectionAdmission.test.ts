import test from "ava";

import { connectionAdmission } from "../../serve/connectionAdmission.js";

// Guards against callers that take the descriptors which readiness, the store, peers and endpoints need.
const cases = [
    { name: "the limit is not known", served: 1e6, refused: 0, maxDescriptors: undefined, expected: "serve" },
    { name: "there is room", served: 104, refused: 0, maxDescriptors: 400, expected: "serve" },
    { name: "there is little room", served: 105, refused: 0, maxDescriptors: 400, expected: "serve-once" },
    { name: "there is room again for one", served: 139, refused: 40, maxDescriptors: 400, expected: "serve-once" },
    { name: "there is no room", served: 140, refused: 39, maxDescriptors: 400, expected: "refuse" },
    { name: "there is none for refusals either", served: 140, refused: 40, maxDescriptors: 400, expected: "replace" },
    { name: "refused callers do not leave", served: 140, refused: 100, maxDescriptors: 400, expected: "drop" },
] as const;
cases.forEach(({ name, expected, ...view }) => {
    test(`connection admission: ${name}`, t => t.is(connectionAdmission(view), expected));
});
