import test from "ava";

import { judgeSettingsFault } from "../../judgeSettingsFault.js";

const cases = [
    { name: "missing for a moment", isMissing: true, faultMs: 0, unchangedMs: 0, verdict: "wait" },
    { name: "missing for seconds", isMissing: true, faultMs: 9_000, unchangedMs: 9_000, verdict: "wait" },
    { name: "missing for good", isMissing: true, faultMs: 10_000, unchangedMs: 10_000, verdict: "give-up" },
    { name: "half written", isMissing: false, faultMs: 5_000, unchangedMs: 100, verdict: "wait" },
    { name: "wrong", isMissing: false, faultMs: 1_000, unchangedMs: 1_000, verdict: "give-up" },
    { name: "changing all the time", isMissing: false, faultMs: 10_000, unchangedMs: 0, verdict: "give-up" },
] as const;

// Guards against a start that fails as the settings file is being replaced, and against one that waits for a wrong file.
cases.forEach(({ name, verdict, ...age }) => {
    test(`settings file: ${name}: ${verdict}`, t => t.is(judgeSettingsFault(age), verdict));
});
