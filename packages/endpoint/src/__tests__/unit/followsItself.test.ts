import test from "ava";

import { followsItself } from "../../cache/followsItself.js";

[
    { name: "the first in order", rank: 0, heard: { rank: 1, at: 100 }, follows: true },
    { name: "one that has heard nothing yet", rank: 3, heard: undefined, follows: true },
    { name: "one that has just heard", rank: 1, heard: { rank: 0, at: 99 }, follows: false },
    { name: "one that has only heard a later one", rank: 1, heard: { rank: 2, at: 99 }, follows: true },
    { name: "the second after the first's silence", rank: 1, heard: { rank: 0, at: -900 }, follows: true },
    { name: "the third, which leaves that to the second", rank: 2, heard: { rank: 0, at: -900 }, follows: false },
    { name: "the third after both's silence", rank: 2, heard: { rank: 0, at: -1_900 }, follows: true },
    { name: "the last after the longest patience", rank: 90, heard: { rank: 0, at: -4_900 }, follows: true },
].forEach(({ name, rank, heard, follows }) =>
    test(`follows an engine itself: ${name}`, t => {
        t.is(followsItself(rank, heard, 100), follows);
    })
);
