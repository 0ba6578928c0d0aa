import test from "ava";

import { createLearners } from "../support/createLearners.js";
import { replayLoads } from "../support/replayLoads.js";

type Replay = Omit<Parameters<typeof replayLoads>[0], "seed">;
type Case = {
    readonly name: string;
    readonly replay: Replay;
    /** Largest median and 95th percentile of the error, beyond those of the true figures with the same late loads. */
    readonly worse: readonly [median: number, p95: number];
};

const SEEDS = [1, 2];
const AFTER_MS = 3_000;
const steady = (speed: number) => (): number => speed;
const threeSpeeds = Array.from({ length: 24 }, (_, i) => steady([0.7, 1, 1.7][i % 3] ?? 1));
const twoSpeeds = Array.from({ length: 63 }, (_, i) => steady(i % 3 === 0 ? 1.7 : 0.7));
const six: Replay = {
    vms: 6,
    lateMs: 300,
    requestsPerSecond: 150,
    longShare: 0.2,
    speeds: threeSpeeds,
    figures: [60, 45, 1.5],
    lengthMs: 10_000,
};
const many: Replay = {
    vms: 85,
    lateMs: 1_000,
    requestsPerSecond: 437,
    longShare: 0.26,
    speeds: twoSpeeds,
    figures: [125, 30, 1],
    lengthMs: 20_000,
};

// Guards against figures that follow noise, late loads or odd samples rather than the endpoints' speed.
const cases: readonly Case[] = [
    { name: "6 VMs, speeds 0.7, 1.0 and 1.7", replay: six, worse: [0.08, 0.2] },
    { name: "6 VMs, the same, loads a second late", replay: { ...six, lateMs: 1_000 }, worse: [0.08, 0.2] },
    { name: "6 VMs, the same, 3% odd samples", replay: { ...six, oddChance: 0.03 }, worse: [0.08, 0.2] },
    {
        name: "6 VMs, other figures, speeds 0.7 and 1.7",
        replay: { ...many, vms: 6, lateMs: 300, lengthMs: 8_000 },
        worse: [0.08, 0.2],
    },
    { name: "85 VMs, other figures, speeds 0.7 and 1.7", replay: many, worse: [0.2, 0.6] },
    {
        name: "6 VMs, as the constants say",
        replay: { ...six, speeds: threeSpeeds.map(() => steady(1)) },
        worse: [0.03, 0.08],
    },
];
const quantile = (values: readonly number[], q: number): number =>
    values.toSorted((a, b) => a - b)[Math.floor(values.length * q)] ?? NaN;

cases.forEach(({ name, replay, worse }) => {
    test(`error of the predicted start: ${name}`, t => {
        const errors = Object.entries(createLearners(replay)).map(([way, create]) => {
            const runs = SEEDS.map(seed => replayLoads({ ...replay, seed }, create()));
            const counted = runs.flatMap(({ answers }) => answers)
                .filter(({ sentAt, isOdd }) => sentAt > AFTER_MS && !isOdd);
            const all = counted.map(each => Math.abs(each.predictedMs / each.observedMs - 1));
            const row = [quantile(all, 0.5), quantile(all, 0.95)] as const;
            const perSpeed = [0.7, 1.7].map(speed => {
                const counts = runs.flatMap(run => run.longPrompts.filter((_, i) => replay.speeds[i]?.(0) === speed));
                return counts.reduce((sum, count) => sum + count, 0) / counts.length / speed;
            });
            t.log(
                way,
                ...row.map(each => each.toFixed(3)),
                "long prompts at 1.7 to 0.7 by speed",
                ((perSpeed[1] ?? NaN) / (perSpeed[0] ?? NaN)).toFixed(2),
            );
            return [way, row] as const;
        });
        const of = (way: string) => errors.find(([name]) => name === way)?.[1] ?? [NaN, NaN];
        const [chosen, known] = [of("chosen"), of("known")];
        t.true(chosen[0] <= known[0] + worse[0], `median ${chosen[0]}`);
        t.true(chosen[1] <= known[1] + worse[1], `p95 ${chosen[1]}`);
    });
});

// Guards against an endpoint that keeps its requests while it has become slow, or gets none after it has recovered.
test("an endpoint that is six times slower shows within a second of traffic, and its recovery within three", t => {
    const [slowFrom, slowTo] = [5_000, 9_000];
    const speedAt = (i: number) => (now: number): number => i === 0 && now > slowFrom && now < slowTo ? 1 / 6 : 1;
    const speeds = Array.from({ length: 12 }, (_, i) => speedAt(i));
    const replay = { ...six, vms: 2, lengthMs: 15_000, speeds };
    Object.entries(createLearners(replay)).forEach(([way, create]) => {
        const delays = [1, 2, 3, 4, 5].map(seed => {
            const { answers, probes } = replayLoads({ ...replay, seed }, create());
            return ([[slowFrom, 0.5, Infinity], [slowTo, 0, 1.5]] as const).map(([from, least, most]) => {
                const sent = answers.find(({ endpoint, sentAt }) => endpoint === 0 && sentAt > from)?.sentAt ?? NaN;
                const seen = probes.find(({ at, ratio }) => at > sent && ratio > least && ratio < most)?.at ?? Infinity;
                return Math.round(seen - sent);
            });
        });
        t.log(
            way,
            "slow",
            delays.map(([slow]) => slow).join(" "),
            "recovered",
            delays.map(([, back]) => back).join(" "),
        );
        if (way === "chosen") {
            t.true(delays.every(([slow = Infinity]) => slow <= 1_000));
            t.true(delays.every(([, back = Infinity]) => back <= 3_000));
        }
    });
});
