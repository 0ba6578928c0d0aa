import test from "ava";

import { createTopicMirror } from "../../store/createTopicMirror.js";
import { decodeTopicAnswer } from "../../store/decodeTopicAnswer.js";
import { encodeTopicAnswer } from "../../store/encodeTopicAnswer.js";

type Mirror = ReturnType<typeof createTopicMirror>;
type TopicRecord = Parameters<Mirror["record"]>[0]["records"][number];

/** Values are equivalent if their first letters are equal. */
const mirrorOf = (): Mirror => createTopicMirror((_, before, now) => before[0] === now[0]);
const recordOf = (offset: number, key: string, value?: string): TopicRecord => ({
    offset,
    key,
    value: value === undefined ? undefined : Buffer.from(value),
});
const answered = (mirror: Mirror, from: number | undefined): readonly string[] | undefined =>
    mirror.answer(from)?.records.map(({ offset, key, value }) => `${offset} ${key} ${value?.toString() ?? "-"}`);

test("topic mirror: returns no answer until the topic was read", t => {
    t.is(mirrorOf().answer(undefined), undefined);
});

// Guards against a VM that queries a relay instead of the store missing a record or taking an older one for the newest.
type Case = {
    readonly name: string;
    readonly pages: readonly (readonly [isWhole: boolean, end: number, records: readonly TopicRecord[]])[];
    readonly from: number | undefined;
    readonly answered: readonly string[];
};
const allRecords = [true, 5, [recordOf(3, "a", "x1"), recordOf(4, "b", "y1")]] as const;
const cases: readonly Case[] = [
    {
        name: "all records to a reader without any",
        pages: [allRecords],
        from: undefined,
        answered: ["3 a x1", "4 b y1"],
    },
    {
        name: "only later records to a reader that has the earlier ones",
        pages: [allRecords],
        from: 4,
        answered: ["4 b y1"],
    },
    {
        name: "a changed record",
        pages: [allRecords, [false, 6, [recordOf(5, "a", "z1")]]],
        from: 5,
        answered: ["5 a z1"],
    },
    {
        name: "no record with an equivalent value",
        pages: [allRecords, [false, 6, [recordOf(5, "a", "x2")]]],
        from: 5,
        answered: [],
    },
    { name: "a deleted key", pages: [allRecords, [false, 6, [recordOf(5, "a")]]], from: 5, answered: ["5 a -"] },
    {
        name: "a key that is missing from a later complete read, as deleted",
        pages: [allRecords, [true, 9, [allRecords[2][0]]]],
        from: 5,
        answered: ["8 b -"],
    },
    {
        name: "no deleted key to a reader without any record",
        pages: [allRecords, [false, 6, [recordOf(5, "a")]]],
        from: undefined,
        answered: ["4 b y1"],
    },
    {
        name: "the newer record if an older one is read after it",
        pages: [allRecords, [false, 5, [recordOf(2, "a", "w1")]]],
        from: undefined,
        answered: ["3 a x1", "4 b y1"],
    },
];
cases.forEach(({ name, pages, from, answered: expected }) => {
    test(`topic mirror: returns ${name}`, t => {
        const mirror = mirrorOf();
        pages.forEach(([isWhole, end, records]) => mirror.record({ isWhole, readTo: end, records }));
        t.deepEqual(answered(mirror, from), expected);
        t.is(mirror.answer(from)?.end, Math.max(...pages.map(([, end]) => end)));
    });
});

// Guards against VMs that wait for an offset which a topic that has begun anew reaches only much later.
test("topic mirror: returns no answer to a reader that has read further", t => {
    const mirror = mirrorOf();
    mirror.record({ isWhole: true, readTo: 5, records: allRecords[2] });
    t.deepEqual(answered(mirror, 5), []);
    t.is(mirror.answer(6), undefined);
});
test("topic mirror: returns only what was read since the topic has begun anew", t => {
    const mirror = mirrorOf();
    mirror.record({ isWhole: true, readTo: 5, records: allRecords[2] });
    mirror.restart();
    t.is(mirror.answer(undefined), undefined);
    mirror.record({ isWhole: true, readTo: 1, records: [recordOf(0, "a", "x2")] });
    t.deepEqual(answered(mirror, undefined), ["0 a x2"]);
    t.is(mirror.answer(undefined)?.end, 1);
});

test("topic answer: an encoded answer is decoded to the same records", t => {
    const answer = {
        records: [recordOf(3, "a", "x"), recordOf(4, "b")],
        end: 5,
        isWhole: true,
        ageMs: 12,
        readAgeMs: 15,
    };
    t.deepEqual(decodeTopicAnswer(encodeTopicAnswer(answer)), answer);
});
[
    "",
    "{}",
    "{\"end\":-1,\"isWhole\":true,\"ageMs\":0,\"records\":[]}",
    "{\"end\":1,\"isWhole\":true,\"ageMs\":0,\"records\":[[1]]}",
]
    .forEach(body =>
        test(`topic answer: rejects ${JSON.stringify(body)}`, t => {
            t.is(decodeTopicAnswer(Buffer.from(body)), undefined);
        })
    );
