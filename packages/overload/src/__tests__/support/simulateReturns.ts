import { seededRandom } from "@azureshunt/testing";

import { forecastRoom } from "../../forecastRoom.js";
import { initialReturns } from "../../initialReturns.js";
import { retryAfterOf } from "../../retryAfterOf.js";
import { stepReturns } from "../../stepReturns.js";

/** How the time to come back is chosen. */
type Way = "constant" | "delay" | "random" | "schedule";
type Job = {
    readonly at: number;
    readonly sentAt: number;
    readonly priority: number;
    readonly isReturn: boolean;
};

const DURATION_MS = 20_000;
const SERVICE_MS = 10;
const KINDS = [
    { priority: 0, perSecond: 25, objectiveMs: 800, deadlineMs: 15_000, fraction: 1.2 },
    { priority: 2, perSecond: 60, objectiveMs: 2_000, deadlineMs: 3_000, fraction: 0.8 },
];
const PRIORITIES = 3;

/**
 * Simulates callers of a service that takes a hundred requests a second, with a burst from 5 to 12 s. Refused callers
 * come back once.
 *
 * @returns shares of the requests that are in time, by priority
 */
export function simulateReturns(way: Way, bursts: readonly number[]): readonly number[] {
    const random = seededRandom(11).next;
    const state = { at: 0, backlogMs: Array.from({ length: PRIORITIES }, () => 0), schedule: initialReturns(0) };
    /** The service runs the most urgent requests first. */
    const work = (until: number): void => {
        const left = { ms: until - state.at };
        state.at = until;
        state.backlogMs = state.backlogMs.map(ms => {
            const done = Math.min(ms, left.ms);
            left.ms -= done;
            return ms - done;
        });
    };
    const sums = Array.from({ length: PRIORITIES }, () => ({ sent: 0, inTime: 0 }));
    const jobs: Job[] = KINDS.flatMap(({ priority, perSecond }) => {
        const sent: Job[] = [];
        const rateAt = (now: number): number => perSecond * (now > 5_000 && now < 12_000 ? bursts[priority] ?? 1 : 1);
        for (let at = 0; at < DURATION_MS; at -= Math.log(1 - random()) * 1_000 / rateAt(at)) {
            sent.push({ at, sentAt: at, priority, isReturn: false });
        }
        return sent;
    });
    const secondsOf = (kind: typeof KINDS[number], waitMs: number, timeLeftMs: number): number => {
        switch (way) {
            case "constant":
                return 0.25;
            case "delay":
                return Math.max(0.25, waitMs / 1_000);
            case "random":
                return random() * timeLeftMs / 3_000;
            case "schedule":
                return retryAfterOf(forecastRoom(state.schedule, kind.priority, waitMs), {
                    timeLeftMs,
                    objectiveMs: kind.objectiveMs,
                }, random());
        }
    };
    while (jobs.length > 0) {
        jobs.sort((a, b) => b.at - a.at);
        const job = jobs.pop()!;
        const { priority, sentAt, isReturn, at } = job;
        const kind = KINDS.find(each => each.priority === priority)!;
        sums[priority]!.sent += isReturn ? 0 : 1;
        work(at);
        const queueMs = state.backlogMs.slice(0, priority + 1).reduce((sum, ms) => sum + ms, 0);
        const waitMs = queueMs - kind.objectiveMs * kind.fraction + SERVICE_MS;
        if (waitMs <= 0) {
            state.backlogMs[priority]! += SERVICE_MS;
            state.schedule = stepReturns(state.schedule, { kind: "sent" }, at);
            sums[priority]!.inTime += at + queueMs + SERVICE_MS - sentAt <= kind.objectiveMs ? 1 : 0;
        }
        else if (!isReturn) {
            const timeLeftMs = kind.deadlineMs;
            const delayMs = secondsOf(kind, waitMs, timeLeftMs) * 1_000;
            state.schedule = stepReturns(state.schedule, { kind: "refused", priority }, at);
            if (delayMs <= timeLeftMs / 3) {
                jobs.push({ at: at + delayMs, sentAt, priority, isReturn: true });
            }
        }
    }
    return sums.map(({ sent, inTime }) => sent === 0 ? 1 : inTime / sent);
}
