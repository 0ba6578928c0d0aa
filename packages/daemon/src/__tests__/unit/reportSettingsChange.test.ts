import test from "ava";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { reportSettingsChange } from "../../reportSettingsChange.js";
import type { Settings } from "../../Settings.js";
import { fakeContext } from "../fakes/fakeContext.js";

type Read = Either<{ readonly text: string | undefined; readonly lines: readonly string[]; }, Settings>;
type Case = { readonly name: string; readonly read: (current: Settings) => Read; readonly logged: readonly unknown[]; };

const cases: readonly Case[] = [
    { name: "has not changed", read: current => Right({ ...current }), logged: ["info", {}] },
    {
        name: "has changed in two fields",
        read: current => Right({ ...current, policy: "round-robin", limits: { ...current.limits, drainMs: 1 } }),
        logged: ["warn", { fields: ["limits", "policy"] }],
    },
    {
        name: "is wrong",
        read: () => Left({ text: "vm: [", lines: ["a", "b"] }),
        logged: ["warn", { faults: ["a", "b"] }],
    },
];

// Guards against an operator who takes settings for applied that need a restart, or one that would fail.
cases.forEach(({ name, read, logged }) =>
    test(`settings change: the file ${name}`, t => {
        const { settings } = fakeContext().ctx;
        const lines: unknown[][] = [];
        reportSettingsChange(settings, read(settings), (level, fields) => void lines.push([level, fields]));
        t.deepEqual(lines, [[...logged]]);
    })
);
