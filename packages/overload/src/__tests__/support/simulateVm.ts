import { seededRandom } from "@azureshunt/testing";

import { admits } from "../../admits.js";
import { initialLoad } from "../../initialLoad.js";
import { initialTicks } from "../../initialTicks.js";
import { stepLoad } from "../../stepLoad.js";
import { stepTicks } from "../../stepTicks.js";
import { waitedMs } from "../../waitedMs.js";
import type { SimulatedKind } from "./SimulatedKind.js";

type VmLoad = {
    readonly cores: number;
    readonly kinds: readonly SimulatedKind[];
    readonly sheds: boolean;
    /** How often a refused caller comes back at once, in place of after `Retry-After`. */
    readonly returnsAtOnce?: number;
    /** Part of the requests whose first endpoint is silent, so that they cost a second try. */
    readonly silentShare?: number;
    readonly pauseAt?: number;
    readonly seed?: number;
};
type KindOutcome = { readonly sent: number; readonly inTime: number; readonly refused: number; };

type Job = {
    at: number;
    stage: "accept" | "head" | "work" | "answer";
    kind: SimulatedKind;
    sentAt: number;
    acceptedAt: number;
    tries: number;
};

const TICK_MS = 100;
/** Sums of fractions would otherwise stay just below the time of the next tick. */
const CLOCK_STEP_MS = 0.01;
const DURATION_MS = 20_000;
/** CPU time of the stages of a request, in the proportions that were measured for a plain request of 2.8 ms. */
const CPU_MS = { accept: 0.3, head: 0.6, work: 1.2, refusal: 0.3 };

/** Simulates the event loop of one VM that has a part of a core. Each turn processes what was readable as it began. */
export function simulateVm(
    { cores, kinds, sheds, silentShare = 0, seed = 7, ...load }: VmLoad,
): ReadonlyMap<string, KindOutcome> {
    const random = seededRandom(seed).next;
    const outcomes = new Map(kinds.map(kind => [kind.name, { sent: 0, inTime: 0, refused: 0 }]));
    const arrivals = kinds.flatMap(kind => {
        const jobs: Job[] = [];
        for (let at = 0; at < DURATION_MS; at += -Math.log(1 - random()) * 1_000 / kind.rate(at)) {
            jobs.push({ at, stage: "accept", kind, sentAt: at, acceptedAt: at, tries: 0 });
        }
        return jobs;
    });
    const sim = {
        now: 0,
        cpuAt: 0,
        jobs: arrivals,
        ticks: initialTicks(0),
        load: initialLoad(),
        counts: new Map<string, number>(),
        turns: 0,
    };
    const spend = (cpuMs: number): void => {
        sim.now += cpuMs / cores;
    };
    const isLagging = (): boolean => sim.load.peakLagMs > 50;
    const run = (job: Job): void => {
        const outcome = outcomes.get(job.kind.name)!;
        const next = (stage: Job["stage"], at: number): void => void sim.jobs.push({ ...job, stage, at });
        if (job.stage === "accept") {
            spend(CPU_MS.accept);
            job.acceptedAt = sim.now;
            next("head", sim.now);
            return;
        }
        if (sim.now - job.sentAt > job.kind.deadlineMs) {
            spend(CPU_MS.refusal);
            return;
        }
        if (job.stage === "head") {
            sim.counts.set(job.kind.name, (sim.counts.get(job.kind.name) ?? 0) + 1);
            spend(CPU_MS.head);
            const head = { acceptedAt: job.acceptedAt, isAfterTick: sim.turns <= 2 };
            const { least } = waitedMs(sim.ticks, TICK_MS, head, sim.now);
            if (sheds && !admits(sim.load, { kind: job.kind, waitedMs: least, draw: random() })) {
                spend(CPU_MS.refusal);
                outcome.refused += 1;
                if (job.tries < (load.returnsAtOnce ?? 0)) {
                    sim.jobs.push({ ...job, stage: "accept", at: sim.now + 20, tries: job.tries + 1 });
                }
                return;
            }
            next("work", sim.now);
            return;
        }
        if (job.stage === "work") {
            spend(CPU_MS.work);
            if (random() < silentShare) {
                next("work", sim.now + job.kind.endpointMs);
                return;
            }
            next("answer", sim.now + job.kind.endpointMs);
            return;
        }
        spend(job.kind.answerCpuMs);
        outcome.inTime += sim.now - job.sentAt <= job.kind.objectiveMs ? 1 : 0;
    };
    arrivals.forEach(({ kind }) => outcomes.get(kind.name)!.sent += 1);
    while (sim.now < DURATION_MS + 4_000) {
        if (load.pauseAt !== undefined && sim.now >= load.pauseAt && sim.ticks.tickAt < load.pauseAt) {
            sim.now = Math.max(sim.now, load.pauseAt + 3_000);
        }
        if (sim.now - sim.ticks.tickAt >= TICK_MS) {
            const counted = kinds.filter(kind => sim.counts.has(kind.name));
            sim.ticks = stepTicks(sim.ticks, TICK_MS, sim.now);
            const event = {
                kind: "tick",
                ticks: sim.ticks,
                arrivals: counted.map(kind => ({ kind, count: sim.counts.get(kind.name)! })),
            } as const;
            sim.load = stepLoad(sim.load, event);
            sim.counts.clear();
            sim.turns = 0;
        }
        sim.turns += 1;
        const ready = sim.jobs.filter(job => job.at <= sim.now).sort((a, b) => a.at - b.at);
        sim.jobs = sim.jobs.filter(job => job.at > sim.now);
        const isSorted = sheds && isLagging();
        const heads = ready.filter(job => job.stage === "head");
        const ordered = isSorted
            ? [...ready.filter(job => job.stage !== "head"), ...heads.sort((a, b) => a.kind.priority - b.kind.priority)]
            : ready;
        ordered.forEach(run);
        if (ready.length === 0) {
            const nextJobAt = sim.jobs.reduce((least, job) => Math.min(least, job.at), Infinity);
            sim.now = Math.max(sim.now, Math.min(nextJobAt, sim.ticks.tickAt + TICK_MS)) + CLOCK_STEP_MS;
        }
    }
    return outcomes;
}
