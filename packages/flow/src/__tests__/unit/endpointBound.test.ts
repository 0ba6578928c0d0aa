import test from "ava";

import { boundAt } from "../../boundAt.js";
import { endpointLevels } from "../../endpointLevels.js";
import { lowerBound } from "../../lowerBound.js";
import { unreadByAll } from "../../unreadByAll.js";

const { initialBytes } = endpointLevels;

// Guards against VMs that exceed the memory of an endpoint together, as each sees its own bodies only.
const sums = [
    { name: "own and reported bytes add up", query: { ownBytes: 5, othersBytes: 7, vms: 3, silentVms: 0 }, sum: 12 },
    { name: "one of several is silent", query: { ownBytes: 5, othersBytes: 7, vms: 3, silentVms: 1 }, sum: 12 },
    { name: "all others are silent", query: { ownBytes: 5, othersBytes: 0, vms: 3, silentVms: 2 }, sum: 15 },
    { name: "there is no other", query: { ownBytes: 5, othersBytes: 0, vms: 1, silentVms: 0 }, sum: 5 },
];
sums.forEach(({ name, query, sum }) => {
    test(`endpoint bound: unread bytes: ${name}`, t => t.is(unreadByAll(query), sum));
});

// Guards against an endpoint that dies of the same number of unread bodies again and again.
const deaths = [
    { name: "half of what was unread", deaths: [[0, 400_000]], at: 0, bytes: 200_000 },
    { name: "it is never raised", deaths: [[0, 40 * initialBytes]], at: 0, bytes: initialBytes },
    { name: "nothing was unread", deaths: [[0, 0]], at: 0, bytes: initialBytes },
    {
        name: "a second death with more unread does not raise it",
        deaths: [[0, 4_000], [1, 90_000]],
        at: 1,
        bytes: 2_000,
    },
    { name: "it stays for 10 s", deaths: [[0, 4_000]], at: 9_999, bytes: 2_000 },
    { name: "it rises by a quarter of what it is", deaths: [[0, 4_000]], at: 20_000, bytes: 3_125 },
    { name: "a death starts the 10 s anew", deaths: [[0, 4_000], [9_000, 9_000]], at: 18_000, bytes: 2_000 },
    { name: "it rises up to the first one", deaths: [[0, 400_000]], at: 3_600_000, bytes: initialBytes },
] as const;
deaths.forEach(({ name, deaths: recorded, at, bytes }) => {
    test(`endpoint bound: ${name}`, t => {
        const bound = recorded.reduce<ReturnType<typeof lowerBound>>(
            (before, [now, unread]) => lowerBound(before, unread, now),
            undefined,
        );
        t.is(boundAt(bound, at), bytes);
    });
});
