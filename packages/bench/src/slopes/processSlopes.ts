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
const ALLOWANCE_TIMEOUT_MS = 10_000;
const STREAMS: readonly number[] = [0, 200, 400];
const LONG_ANSWER_TOKENS = 4_000;

/** Cost per second of a daemon that serves no requests. */
type IdleCost = { readonly cpuMsPerSecond: number; readonly bytesPerSecond: number; };

const firstDaemonPid = ({ daemons }: Topology): number => daemons[0]?.process().pid ?? 0;

const measureIdleCost = async (topology: Topology): Promise<IdleCost> => {
    await delay(SETTLE_MS);
    const pids = topology.daemons.map(daemon => daemon.process().pid);
    const before = pids.map(readProcessUsage);
    const startedAt = performance.now();
    await delay(IDLE_MS);
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND * pids.length;
    const after = pids.map(readProcessUsage);
    const perSecond = (pick: (usage: ReturnType<typeof readProcessUsage>) => number): number =>
        after.reduce((sum, usage, i) => sum + pick(usage) - pick(before[i] ?? usage), 0) / seconds;
    return {
        cpuMsPerSecond: perSecond(({ cpuMs }) => cpuMs),
        bytesPerSecond: perSecond(usage => usage.transferredBytes),
    };
};

const measureIdle = (daemons: number, engines: number): Promise<IdleCost> =>
    withWorkload(slopeWorkload({ daemons, engines, pieces: 0, answerTokens: 1 }), measureIdleCost);

/** Measures the sizes one after the other, because they share the machine and would disturb each other. */
const measureInSequence = <T>(sizes: readonly number[], measure: (size: number) => Promise<T>): Promise<readonly T[]> =>
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

const sendRequests = async (target: LoadTarget, workload: Workload, count: number, firstId: number): Promise<void> => {
    const agent = new Agent({ connections: CONCURRENCY });
    const startedAt = performance.now();
    const sendFrom = async (first: number): Promise<void> => {
        if (first >= count) {
            return;
        }
        const answer = await sendModelRequest(agent, target, workload, arrivalOf(firstId + first), () => undefined);
        if (answer.complete) {
            return sendFrom(first + CONCURRENCY);
        }
        // A new installation refuses requests, as not run, until its allowances have begun to fill.
        if (answer.ran === "no" && performance.now() - startedAt < ALLOWANCE_TIMEOUT_MS) {
            return sendFrom(first);
        }
        throw new Error(`expected a whole answer, seen ${JSON.stringify(answer)}`);
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, (_, i) => sendFrom(i)));
    await agent.close();
};

/** Measures the CPU milliseconds of one request, without the cost of the idle daemon. */
const measureRequestCost = async (topology: Topology, target: LoadTarget, workload: Workload): Promise<number> => {
    await sendRequests(target, workload, WARM_UP_REQUESTS, 0);
    const { cpuMsPerSecond } = await measureIdleCost(topology);
    const pid = firstDaemonPid(topology);
    const before = readProcessUsage(pid);
    const startedAt = performance.now();
    await sendRequests(target, workload, REQUESTS, WARM_UP_REQUESTS);
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    return (readProcessUsage(pid).cpuMs - before.cpuMs - cpuMsPerSecond * seconds) / REQUESTS;
};

const measureRequestSlopes = async (): Promise<readonly Slope[]> => {
    const shape = { daemons: DOMAINS, engines: DOMAINS };
    const requestCostOf = (pieces: number, answerTokens: number, daemons = DOMAINS): Promise<number> => {
        const workload = slopeWorkload({ ...shape, daemons, pieces, answerTokens });
        return withWorkload(workload, (topology, target) => measureRequestCost(topology, target, workload));
    };
    const pieces = [0, 4, 8];
    const byPieces = await measureInSequence(pieces, size => requestCostOf(size, 1));
    const tokens = [1, 20, 40];
    const byTokens = await measureInSequence(tokens, size => requestCostOf(0, size));
    const byPeers = await measureInSequence(PEERS, daemons => requestCostOf(0, 1, daemons));
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

const measureStreamSlope = async (): Promise<Slope> => {
    const workload = slopeWorkload({
        daemons: DOMAINS,
        engines: DOMAINS,
        pieces: 1,
        answerTokens: LONG_ANSWER_TOKENS,
    });
    const points = await withWorkload(workload, async (topology, target) => {
        const warmUp = { ...workload, shortAnswerTokens: 1 };
        await sendRequests(target, warmUp, WARM_UP_REQUESTS, 0);
        const engines = topology.endpoints.filter(({ kind }) => kind === "model");
        await Promise.all(
            engines.map(({ url }) => callHttp({ method: "POST", url: `${url}/control`, body: { slowFactor: 500 } })),
        );
        const agent = new Agent({ connections: Math.max(...STREAMS) });
        const residentBytesWith = async (count: number, inFlight: number): Promise<number> => {
            Array.from({ length: count - inFlight }, (_, i) => arrivalOf(i)).forEach(arrival => {
                void sendModelRequest(agent, target, workload, arrival, () => undefined).catch(() => undefined);
            });
            await delay(SETTLE_MS);
            return readProcessUsage(firstDaemonPid(topology)).residentBytes;
        };
        const values = await STREAMS.reduce<Promise<readonly number[]>>(
            async (before, count, i) => [...await before, await residentBytesWith(count, STREAMS[i - 1] ?? 0)],
            Promise.resolve([]),
        );
        await agent.destroy();
        return STREAMS.map((items, i) => ({ items, value: values[i] ?? 0 }));
    });
    return slopeOf({ name: "resident memory", item: "stream in flight over one piece", unit: "bytes", points });
};

/**
 * Measures slopes of daemon processes from outside.
 *
 * @param logProgress called with a line when a part is done
 */
export async function processSlopes(logProgress: (line: string) => void): Promise<readonly Slope[]> {
    const byPeers = await measureInSequence(PEERS, daemons => measureIdle(daemons, DOMAINS));
    logProgress("idle daemons by peers");
    const byEngines = await measureInSequence(ENGINES, engines => measureIdle(DOMAINS, engines));
    logProgress("idle daemons by engines");
    const byRequest = await measureRequestSlopes();
    logProgress("requests");
    const byStream = await measureStreamSlope();
    logProgress("streams in flight");
    return [
        ...idleSlopes("by VMs", "VM", PEERS, byPeers),
        ...idleSlopes("by engines", "engine", ENGINES, byEngines),
        ...byRequest,
        byStream,
    ];
}
