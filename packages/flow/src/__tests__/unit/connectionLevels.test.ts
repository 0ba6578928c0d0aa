import test from "ava";

import { connectionLevels } from "../../connectionLevels.js";

const cases = [
    { memoryMb: undefined, backlog: 1_024, unread: 1_024 },
    { memoryMb: 20, backlog: 128, unread: 128 },
    { memoryMb: 100, backlog: 512, unread: 160 },
    { memoryMb: 200, backlog: 1_024, unread: 320 },
    { memoryMb: 350, backlog: 1_024, unread: 560 },
    { memoryMb: 10_000, backlog: 1_024, unread: 1_024 },
];

// Guards against a system that holds more for a VM's connections than the VM has.
cases.forEach(({ memoryMb, ...levels }) => {
    test(`connection levels: a VM with ${memoryMb ?? "unknown"} MB`, t => {
        t.deepEqual(connectionLevels(memoryMb), levels);
    });
});
