import { z } from "zod";

import type { Clock } from "../common/Clock.js";
import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import type { Switches } from "../common/Switches.js";
import type { AppendBudget } from "./AppendBudget.js";
import { appendRecords } from "./appendRecords.js";
import { consumeAppend } from "./consumeAppend.js";
import { emptyStream } from "./emptyStream.js";
import { expireRecords } from "./expireRecords.js";
import type { LogStream } from "./LogStream.js";
import type { PlatformSwitches } from "./PlatformSwitches.js";
import { readRecords } from "./readRecords.js";

const DEFAULT_LIMIT = 1_000;
const MAX_WAIT_MS = 30_000;

const AppendBody = z.object({
    records: z.array(z.object({ id: z.string().min(1), data: z.unknown() })).min(1),
});
const ReadQuery = z.object({
    from: z.coerce.number().int().min(0).default(0),
    limit: z.coerce.number().int().positive().default(DEFAULT_LIMIT),
    waitMs: z.coerce.number().min(0).max(MAX_WAIT_MS).default(0),
});

/** Dependencies of the log. */
type LogContext = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly switches: Switches<PlatformSwitches>;
};

/** Creates the routes of the append-only log. */
export function logRoutes({ clock, random, switches }: LogContext): readonly Route[] {
    const streams = new Map<string, LogStream>();
    const waiters = new Map<string, Set<() => void>>();
    let budget: AppendBudget = { since: 0, used: 0 };

    const currentStream = (name: string): LogStream => {
        const { retainCount, retainMs } = switches.current();
        const retention = { count: retainCount, ageMs: retainMs };
        return expireRecords(streams.get(name) ?? emptyStream, retention, clock.now());
    };
    const wakeReaders = (name: string): void => {
        const waiting = [...waiters.get(name) ?? []];
        waiters.delete(name);
        waiting.forEach(resume => resume());
    };
    const takeAnswerLoss = (): boolean => {
        const { loseAnswers, loseAnswerRate } = switches.current();
        if (loseAnswers > 0) {
            switches.update({ loseAnswers: loseAnswers - 1 });
            return true;
        }
        return loseAnswerRate > 0 && random() < loseAnswerRate;
    };
    const append = async ({ req, res, params }: HttpRequest): Promise<void> => {
        const name = params[0] ?? "";
        const { records } = await readJson(req, AppendBody);
        const nextBudget = consumeAppend(budget, switches.current().appendsPerSecond, clock.now());
        if (nextBudget === undefined) {
            throw new HttpError(429, "Too many appends in this second.", { "retry-after": "1" });
        }
        budget = nextBudget;
        const before = currentStream(name);
        streams.set(name, appendRecords(before, records, Math.floor(clock.now())));
        wakeReaders(name);
        if (takeAnswerLoss()) {
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, { offsets: records.map((_, i) => before.end + i) });
    };
    const waitForAppend = (name: string, waitMs: number, { res }: HttpRequest): Promise<void> =>
        new Promise(resolve => {
            const waiting = waiters.get(name) ?? new Set();
            waiters.set(name, waiting);
            const resume = (): void => {
                waiting.delete(resume);
                cancel();
                resolve();
            };
            const cancel = clock.after(waitMs, resume);
            waiting.add(resume);
            res.on("close", resume);
        });
    const read = async (request: HttpRequest): Promise<void> => {
        const name = request.params[0] ?? "";
        const query = ReadQuery.safeParse(Object.fromEntries(request.query));
        if (!query.success) {
            throw new HttpError(400, query.error.issues.map(issue => issue.message).join("; "));
        }
        const { from, limit, waitMs } = query.data;
        if (from >= currentStream(name).end && waitMs > 0) {
            await waitForAppend(name, waitMs, request);
        }
        const { start, end } = currentStream(name);
        if (from < start) {
            throw new HttpError(410, "These records are no longer kept.", {}, { start, end });
        }
        sendJson(request.res, 200, { start, end, records: readRecords(currentStream(name), from, limit) });
    };
    return [
        { method: "POST", pattern: /^\/log\/([^/]+)$/, handle: append },
        { method: "GET", pattern: /^\/log\/([^/]+)$/, handle: read },
    ];
}
