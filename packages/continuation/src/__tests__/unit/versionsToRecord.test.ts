import test from "ava";

import type { VersionHistory } from "../../VersionHistory.js";
import { versionsToRecord } from "../../versionsToRecord.js";

const NOW = 100_000;
const historyOf = (
    coveredSince: number,
    versions: readonly (readonly [string | undefined, number])[],
): VersionHistory => ({
    coveredSince,
    versions: new Map(versions.map(([version, lastAt]) => [version, { firstAt: 0, lastAt }])),
});

const cases = [
    {
        name: "a complete history begins a record",
        since: 0,
        versions: [["v1", NOW]],
        recorded: undefined,
        wanted: ["v1"],
    },
    {
        name: "a young history begins none",
        since: 90_000,
        versions: [["v1", NOW]],
        recorded: undefined,
        wanted: undefined,
    },
    {
        name: "a young history adds to a record",
        since: 90_000,
        versions: [["v2", NOW]],
        recorded: ["v1"],
        wanted: ["v1", "v2"],
    },
    {
        name: "a young history removes nothing",
        since: 90_000,
        versions: [["v2", NOW]],
        recorded: ["v1", "v2"],
        wanted: undefined,
    },
    { name: "an outdated history removes nothing", since: Infinity, versions: [["v2", NOW]], recorded: ["v1", "v2"] },
    {
        name: "a complete history removes what left long ago",
        since: 0,
        versions: [["v1", 60_000], ["v2", NOW]],
        recorded: ["v1", "v2"],
        wanted: ["v2"],
    },
    {
        name: "a complete history keeps what left lately",
        since: 0,
        versions: [["v1", 90_000], ["v2", NOW]],
        recorded: ["v1"],
        wanted: ["v1", "v2"],
    },
    { name: "entries without a version are named", since: 0, versions: [[undefined, NOW]], wanted: [null] },
    { name: "a service without entries has none", since: 0, versions: [], wanted: undefined },
] as const;

// Guards against a record that leaves out a version, by which streams are joined after a restart of all VMs.
cases.forEach(({ name, since, versions, ...expected }) => {
    test(`versions to record: ${name}`, t => {
        const { recorded, wanted } = { recorded: undefined, wanted: undefined, ...expected };
        t.deepEqual(versionsToRecord(historyOf(since, versions), recorded, NOW), wanted);
    });
});
