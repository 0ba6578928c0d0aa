import test from "ava";

import { knowledgeJson } from "../../knowledgeJson.js";
import { originsDatagram } from "../../originsDatagram.js";
import type { StatedOrigin } from "../../StatedOrigin.js";
import type { StreamId } from "../../StreamId.js";
import { originOf } from "../support/originOf.js";

const MAX_DATAGRAM_BYTES = 1_200;
const statedOf = (i: number): StatedOrigin => ({
    id: `stream-id-${i}`.padEnd(16, "-") as StreamId,
    leftMs: 15_000,
    origin: originOf(`i-${i}f3400857`, "v1.2", 1_789_654_870_165),
});

const datagrams = [
    { name: "an origin", origins: [statedOf(1)], count: 1 },
    { name: "an origin without a version", origins: [{ ...statedOf(1), origin: originOf("e1", undefined) }], count: 1 },
    { name: "an ambiguous origin", origins: [{ ...statedOf(1), origin: "ambiguous" as const }], count: 1 },
    { name: "many origins", origins: Array.from({ length: 20 }, (_, i) => statedOf(i)), count: 3 },
];
datagrams.forEach(({ name, origins, count }) => {
    test(`stream wire: ${name} can be read from ${count} datagrams that need no fragmentation`, t => {
        const encoded = originsDatagram.encode(origins);
        t.is(encoded.length, count);
        t.true(encoded.every(({ length }) => length <= MAX_DATAGRAM_BYTES));
        t.deepEqual(encoded.flatMap(datagram => originsDatagram.decode(datagram) ?? []), origins);
    });
});

const row = ["an-id", 10, "lm", "v1", "e1", 1, 2];
const received = [
    { name: "a beacon", text: "[1,\"vm-1\"]", rows: undefined },
    { name: "no JSON", text: "[\"stream-origins\"", rows: undefined },
    { name: "a row with a further field", text: JSON.stringify(["stream-origins", [...row, "later"]]), rows: 1 },
    {
        name: "rows of another type",
        text: JSON.stringify(["stream-origins", 1, ["x"], [...row.slice(0, 6)], row]),
        rows: 1,
    },
    { name: "a negative time", text: JSON.stringify(["stream-origins", ["an-id", -1, ...row.slice(2)]]), rows: 0 },
] as const;
// Guards against a datagram of another build, or of nobody, ending the process or entering the table.
received.forEach(({ name, text, rows }) => {
    test(`stream wire: of a datagram with ${name}, ${rows ?? "nothing"} is read`, t => {
        t.is(originsDatagram.decode(Buffer.from(text))?.length, rows);
    });
});

test("stream wire: an answer to a peer can be read", t => {
    const origin = { ...statedOf(1), id: "" as StreamId };
    const { service } = originOf("e1", "v1");
    const histories = [{ service, coveredMs: 40_000, versions: [["v1", 40_000, 0], [undefined, 10, 0]] as const }];
    const answer = { origin, isCurrent: true, histories };
    t.deepEqual(knowledgeJson.decode(knowledgeJson.encode(answer)), {
        ...answer,
        origin: { ...origin, id: "" as StreamId },
    });
    const unbounded = knowledgeJson.encode({ ...answer, histories: [{ service, coveredMs: Infinity, versions: [] }] });
    t.is(knowledgeJson.decode(unbounded)?.histories[0]?.coveredMs, 3_600_000);
});

["", "{}", "[]", "{\"origin\":null,\"isCurrent\":1,\"histories\":[]}"].forEach(body => {
    test(`stream wire: the answer ${JSON.stringify(body)} of another build is ignored`, t => {
        t.is(knowledgeJson.decode(Buffer.from(body)), undefined);
    });
});
