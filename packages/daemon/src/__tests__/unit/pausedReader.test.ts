import { createPauseWatch } from "@azureshunt/lifecycle";
import test from "ava";
import { pino } from "pino";
import { Right } from "purify-ts";

import { createReleasePort } from "../../configuration/createReleasePort.js";
import type { LogPort } from "../../ports/LogPort.js";
import { fakeContext } from "../fakes/fakeContext.js";

type Page = Awaited<ReturnType<LogPort["read"]>>;

const [TICK_MS, PAUSE_MS] = [100, 5_000] as const;
const EMPTY = Right({ start: 0, end: 0, records: [] }) as unknown as Page;

const cases = [
    { kind: "counted", steadyMs: PAUSE_MS, wallMs: PAUSE_MS, staleness: PAUSE_MS - TICK_MS },
    { kind: "uncounted", steadyMs: 0, wallMs: PAUSE_MS, staleness: Infinity },
    { kind: "no", steadyMs: TICK_MS, wallMs: TICK_MS, staleness: 0 },
] as const;

// Guards against keys that were withdrawn while a daemon did not run, as it takes what the log said before for what it says now.
cases.forEach(({ kind, steadyMs, wallMs, staleness }) => {
    test(`paused reader: the age of a configuration that is read over ${kind} pause`, async t => {
        const time = { steadyMs: 1_000, wallMs: 9_000 };
        const clock = { now: () => time.steadyMs, epoch: () => time.wallMs };
        const { ctx } = fakeContext();
        const { metrics } = ctx;
        const logger = pino({ level: "silent" });
        const pauses = createPauseWatch({ clock, cpuMs: () => 0, intervalMs: TICK_MS, logger, metrics });
        const reads: ((page: Page) => void)[] = [];
        const log = { ...ctx.log, read: () => new Promise<Page>(resolve => reads.push(resolve)) };
        const release = createReleasePort({ ...ctx, clock, pauses, log });
        t.teardown(release.stop);
        const answerRead = async (): Promise<void> => {
            const count = reads.length;
            reads.at(-1)?.(EMPTY);
            while (reads.length === count) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        };
        await answerRead();
        t.is(release.staleness(), 0);
        time.steadyMs += steadyMs;
        time.wallMs += wallMs;
        await answerRead();
        t.is(release.staleness(), staleness);
        await answerRead();
        t.is(release.staleness(), 0);
    });
});
