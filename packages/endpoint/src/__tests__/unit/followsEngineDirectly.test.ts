import test from "ava";

import { followsEngineDirectly } from "../../cache/followsEngineDirectly.js";

[
    { name: "the first VM in order", rank: 0, lastUpdate: { rank: 1, at: 100 }, follows: true },
    { name: "a VM that has received nothing yet", rank: 3, lastUpdate: undefined, follows: true },
    { name: "a VM that has just received an update", rank: 1, lastUpdate: { rank: 0, at: 99 }, follows: false },
    {
        name: "a VM that received updates only from a later VM in order",
        rank: 1,
        lastUpdate: { rank: 2, at: 99 },
        follows: true,
    },
    { name: "the second VM once the first is silent", rank: 1, lastUpdate: { rank: 0, at: -900 }, follows: true },
    {
        name: "the third VM while it is still the second's turn",
        rank: 2,
        lastUpdate: { rank: 0, at: -900 },
        follows: false,
    },
    {
        name: "the third VM once both before it are silent",
        rank: 2,
        lastUpdate: { rank: 0, at: -1_900 },
        follows: true,
    },
    {
        name: "the last VM after the maximum takeover delay",
        rank: 90,
        lastUpdate: { rank: 0, at: -4_900 },
        follows: true,
    },
].forEach(({ name, rank, lastUpdate, follows }) =>
    test(`follows an engine itself: ${name}`, t => {
        t.is(followsEngineDirectly(rank, lastUpdate, 100), follows);
    })
);
