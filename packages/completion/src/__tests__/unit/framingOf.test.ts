import test from "ava";

import { framingOf } from "../../framingOf.js";

const cases = [
    { headers: { "content-length": "2" }, framing: "length" },
    { headers: { "transfer-encoding": "chunked" }, framing: "chunks" },
    { headers: { "transfer-encoding": "gzip, Chunked" }, framing: "chunks" },
    { headers: { "transfer-encoding": "chunked, gzip" }, framing: "connection" },
    { headers: { "transfer-encoding": "identity" }, framing: "connection" },
    { headers: { "transfer-encoding": "chunked", "content-length": "2" }, framing: "chunks" },
    { headers: {}, framing: "connection" },
] as const;

cases.forEach(({ headers, framing }) => {
    test(`framing: ${JSON.stringify(headers)} ends with ${framing}`, t => {
        t.is(framingOf(headers), framing);
    });
});
