import { setTimeout as delay } from "node:timers/promises";

import { Agent } from "undici";

import type { LoadTarget } from "../load/LoadTarget.js";
import { sendModelRequest } from "../load/sendModelRequest.js";
import { readProcessUsage } from "../process/readProcessUsage.js";
import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";
import type { Arrival } from "../workload/Arrival.js";
import type { Workload } from "../workload/Workload.js";
import type { Slope } from "./Slope.js";
import { slopeOf } from "./slopeOf.js";
import { slopeWorkload } from "./slopeWorkload.js";
import { withWorkload } from "./withWorkload.js";

const SETTLE_MS = 2_000;
const IDLE_MS = 5_000;
const MS_PER_SECOND = 1_000;
const DOMAINS = 3;
const PEERS: readonly number[] = [3, 6, 12];
const ENGINES: readonly number[] = [3, 9, 18];
const REQUESTS = 600;
const WARM_UP_REQUESTS = 400;
const CONCURRENCY = 8;
const FIRST_TOKENS_MS = 10_000;
const STREAMS: readonly number[] = [0, 200, 400];
const LONG_ANSWER_TOKENS = 4_000;

/** What a daemon spends a second while nobody calls. */
type IdleCost = { readonly cpuMsPerSecond: number; readonly bytesPerSecond: number; };

const firstDaemon = ({ daemons }: Topology): number => daemons[0]?.process().pid ?? 0;

const idleCost = async (topology: Topology): Promise<IdleCost> => {
    await delay(SETTLE_MS);
    const pids = topology.daemons.map(daemon => daemon.process().pid);
    const before = pids.map(readProcessUsage);
    const begun = performance.now();
    await delay(IDLE_MS);
    const seconds = (performance.now() - begun) / MS_PER_SECOND * pids.length;
    const after = pids.map(readProcessUsage);
    const spent = (pick: (usage: ReturnType<typeof readProcessUsage>) => number): number =>
        after.reduce((sum, usage, i) => sum + pick(usage) - pick(before[i] ?? usage), 0) / seconds;
    return { cpuMsPerSecond: spent(({ cpuMs }) => cpuMs), bytesPerSecond: spent(usage => usage.transferredBytes) };
};

const idleOf = (daemons: number, engines: number): Promise<IdleCost> =>
    withWorkload(slopeWorkload({ daemons, engines, pieces: 0, answerTokens: 1 }), idleCost);

/** Measures one size after the other, as the machine is shared. */
const inTurn = <T>(sizes: readonly number[], measure: (size: number) => Promise<T>): Promise<readonly T[]> =>
    sizes.reduce<Promise<readonly T[]>>(
        async (before, size) => [...await before, await measure(size)],
        Promise.resolve([]),
    );

const idleSlopes = (
    name: string,
    item: string,
    sizes: readonly number[],
    costs: readonly IdleCost[],
): readonly Slope[] => [
    slopeOf({
        name: `idle daemon, ${name}`,
        item,
        unit: "CPU ms/s",
        points: sizes.map((items, i) => ({ items, value: costs[i]?.cpuMsPerSecond ?? 0 })),
    }),
    slopeOf({
        name: `idle daemon, ${name}`,
        item,
        unit: "bytes/s",
        points: sizes.map((items, i) => ({ items, value: costs[i]?.bytesPerSecond ?? 0 })),
    }),
];

const arrivalOf = (id: number): Arrival => ({
    id,
    at: 0,
    organisation: "only",
    kind: "short",
    daemon: 0,
    prefix: undefined,
    phase: "slope",
});

const sendMany = async (target: LoadTarget, workload: Workload, count: number, from: number): Promise<void> => {
    const agent = new Agent({ connections: CONCURRENCY });
    const begun = performance.now();
    const lane = async (first: number): Promise<void> => {
        if (first >= count) {
            return;
        }
        const answer = await sendModelRequest(agent, target, workload, arrivalOf(from + first), () => undefined);
        if (answer.complete) {
            return lane(first + CONCURRENCY);
        }
        // A fresh installation refuses as not run until its allowances have begun to fill.
        if (answer.ran === "no" && performance.now() - begun < FIRST_TOKENS_MS) {
            return lane(first);
        }
        throw new Error(`expected a whole answer, seen ${JSON.stringify(answer)}`);
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, (_, i) => lane(i)));
    await agent.close();
};

/** Processor time of one request, without what the daemon spends anyway. */
const requestCost = async (topology: Topology, target: LoadTarget, workload: Workload): Promise<number> => {
    await sendMany(target, workload, WARM_UP_REQUESTS, 0);
    const { cpuMsPerSecond } = await idleCost(topology);
    const pid = firstDaemon(topology);
    const before = readProcessUsage(pid);
    const begun = performance.now();
    await sendMany(target, workload, REQUESTS, WARM_UP_REQUESTS);
    const seconds = (performance.now() - begun) / MS_PER_SECOND;
    return (readProcessUsage(pid).cpuMs - before.cpuMs - cpuMsPerSecond * seconds) / REQUESTS;
};

const requestSlopes = async (): Promise<readonly Slope[]> => {
    const shape = { daemons: DOMAINS, engines: DOMAINS };
    const costOf = (pieces: number, answerTokens: number, daemons = DOMAINS): Promise<number> => {
        const workload = slopeWorkload({ ...shape, daemons, pieces, answerTokens });
        return withWorkload(workload, (topology, target) => requestCost(topology, target, workload));
    };
    const pieces = [0, 4, 8];
    const byPieces = await inTurn(pieces, size => costOf(size, 1));
    const tokens = [1, 20, 40];
    const byTokens = await inTurn(tokens, size => costOf(0, size));
    const byPeers = await inTurn(PEERS, daemons => costOf(0, 1, daemons));
    return [
        slopeOf({
            name: "request, at the daemon that serves it",
            item: "VM",
            unit: "CPU ms",
            points: PEERS.map((items, i) => ({ items, value: byPeers[i] ?? 0 })),
        }),
        slopeOf({
            name: "request",
            item: "piece of 4,096 tokens in its prompt",
            unit: "CPU ms",
            points: pieces.map((items, i) => ({ items, value: byPieces[i] ?? 0 })),
        }),
        slopeOf({
            name: "request",
            item: "token streamed",
            unit: "CPU ms",
            points: tokens.map((items, i) => ({ items, value: byTokens[i] ?? 0 })),
        }),
    ];
};

const streamSlope = async (): Promise<Slope> => {
    const workload = slopeWorkload({
        daemons: DOMAINS,
        engines: DOMAINS,
        pieces: 1,
        answerTokens: LONG_ANSWER_TOKENS,
    });
    const points = await withWorkload(workload, async (topology, target) => {
        const warmUp = { ...workload, shortAnswerTokens: 1 };
        await sendMany(target, warmUp, WARM_UP_REQUESTS, 0);
        const engines = topology.endpoints.filter(({ kind }) => kind === "model");
        await Promise.all(
            engines.map(({ url }) => callHttp({ method: "POST", url: `${url}/control`, body: { slowFactor: 500 } })),
        );
        const agent = new Agent({ connections: Math.max(...STREAMS) });
        const residentWith = async (count: number, already: number): Promise<number> => {
            Array.from({ length: count - already }, (_, i) => arrivalOf(i)).forEach(arrival => {
                void sendModelRequest(agent, target, workload, arrival, () => undefined).catch(() => undefined);
            });
            await delay(SETTLE_MS);
            return readProcessUsage(firstDaemon(topology)).residentBytes;
        };
        const values = await STREAMS.reduce<Promise<readonly number[]>>(
            async (before, count, i) => [...await before, await residentWith(count, STREAMS[i - 1] ?? 0)],
            Promise.resolve([]),
        );
        await agent.destroy();
        return STREAMS.map((items, i) => ({ items, value: values[i] ?? 0 }));
    });
    return slopeOf({ name: "resident memory", item: "stream in flight over one piece", unit: "bytes", points });
};

/**
 * Slopes of real daemons, measured from outside.
 *
 * @param say called with a line when a part is done
 */
export async function processSlopes(say: (line: string) => void): Promise<readonly Slope[]> {
    const byPeers = await inTurn(PEERS, daemons => idleOf(daemons, DOMAINS));
    say("idle daemons by peers");
    const byEngines = await inTurn(ENGINES, engines => idleOf(DOMAINS, engines));
    say("idle daemons by engines");
    const byRequest = await requestSlopes();
    say("requests");
    const byStream = await streamSlope();
    say("streams in flight");
    return [
        ...idleSlopes("by VMs", "VM", PEERS, byPeers),
        ...idleSlopes("by engines", "engine", ENGINES, byEngines),
        ...byRequest,
        byStream,
    ];
}
