import { setTimeout as sleep } from "node:timers/promises";

import test from "ava";

import { createSignalLog } from "../../createSignalLog.js";

const WINDOW_MS = 1_000;

// Guards against a flood of signals becoming one of lines.
([
    { count: 1, lines: 1, more: undefined },
    { count: 5, lines: 5, more: undefined },
    { count: 300, lines: 5, more: 295 },
] as const).forEach(({ count, lines, more }) => {
    test(`signal log: ${count} of one signal, and one of another`, async t => {
        const logged: { readonly signal?: string; readonly times?: number; }[] = [];
        const logSignal = createSignalLog((_level, fields) => void logged.push(fields));
        Array.from({ length: count }).forEach(() => logSignal("SIGHUP", "info", {}));
        logSignal("SIGUSR2", "warn", {});
        t.is(logged.filter(({ signal }) => signal === "SIGHUP").length, lines);
        t.is(logged.filter(({ signal }) => signal === "SIGUSR2").length, 1);
        await sleep(WINDOW_MS + WINDOW_MS / 2);
        t.is(logged.find(({ times }) => times !== undefined)?.times, more);
    });
});
