import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

import { directoryWire } from "@azureshunt/platform/dist/directoryWire.js";
import { startStore } from "@azureshunt/platform/dist/standins/startStore.js";

import { readProcessUsage } from "../process/readProcessUsage.js";
import { withFolder } from "../topology/withFolder.js";
import { costConfiguration } from "./costConfiguration.js";
import type { CostKind } from "./CostKind.js";
import type { CostStage } from "./CostStage.js";
import type { CpuProfile } from "./CpuProfile.js";
import type { RequestCost } from "./RequestCost.js";
import { sendCostLoad } from "./sendCostLoad.js";
import { stageShares } from "./stageShares.js";
import { startCostEndpoint } from "./startCostEndpoint.js";
import { startCostProcess } from "./startCostProcess.js";
import { startCostRouter } from "./startCostRouter.js";

type CostPlan = {
    readonly perSecond: number;
    readonly secondsPerRun: number;
    /** Number of runs of each kind against the proxy and the router, in turn. */
    readonly pairs: number;
    readonly kinds: readonly CostKind[];
};
type KindCost = RequestCost["kinds"][number];
type Spread = KindCost["ratio"];
type Target = { readonly address: string; readonly pid: number; readonly idleMs: number; };
type Run = { readonly cpuMs: number; readonly answered: number; readonly firstByteMs: number; };

const PROXY = fileURLToPath(new URL("./bareProxy.js", import.meta.url));
const HEARTBEAT_MS = 300;
const MS_PER_SECOND = 1_000;
/** Requests before the first run, after which most code is compiled. */
const WARM_UP_SECONDS = 3;
const OCTET = 256;

/** Address of the loopback interface of its own, so that several of these processes may run at once. */
const hostOf = (index: number): string =>
    `127.${1 + Math.floor(process.pid / OCTET) % (OCTET - 2)}.${process.pid % OCTET}.${200 + index}`;

const spreadOf = (values: readonly number[]): Spread => {
    const sorted = values.toSorted((a, b) => a - b);
    return {
        median: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
        least: sorted[0] ?? Number.NaN,
        greatest: sorted.at(-1) ?? Number.NaN,
    };
};

const cpuOf = ({ pid }: Pick<Target, "pid">): number => readProcessUsage(pid).cpuMs;

const idleMsPerSecond = async (target: Pick<Target, "pid">, seconds: number): Promise<number> => {
    const before = cpuOf(target);
    await delay(seconds * MS_PER_SECOND);
    return (cpuOf(target) - before) / seconds;
};

/** Measures one run against the router or the proxy; what the process spends when idle does not count. */
const runAgainst = async (target: Target, kind: CostKind, plan: CostPlan, seconds: number): Promise<Run> => {
    const requests = Math.round(seconds * plan.perSecond);
    const before = cpuOf(target);
    const startedAt = performance.now();
    const { answered, firstByteMs } = await sendCostLoad({ ...plan, kind, address: target.address, requests });
    const elapsedSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
    return {
        cpuMs: (cpuOf(target) - before - elapsedSeconds * target.idleMs) / requests,
        answered,
        firstByteMs: spreadOf(firstByteMs).median,
    };
};

const pairsOf = async (
    plan: CostPlan,
    run: (who: "proxy" | "router") => Promise<Run>,
): Promise<readonly { readonly proxy: Run; readonly router: Run; }[]> => {
    const pairs: { readonly proxy: Run; readonly router: Run; }[] = [];
    for (let i = 0; i < plan.pairs; i += 1) {
        pairs.push({ proxy: await run("proxy"), router: await run("router") });
    }
    return pairs;
};

const readProfile = (folder: string): CpuProfile => {
    const name = readdirSync(folder).find(file => file.endsWith(".cpuprofile"));
    if (name === undefined) {
        throw new Error("the router has written no profile");
    }
    return JSON.parse(readFileSync(join(folder, name), "utf8")) as CpuProfile;
};

/** Measures the CPU time per request of a router that is the only VM, beside that of a bare proxy. */
export async function measureRequestCost(plan: CostPlan): Promise<RequestCost> {
    const { declarationsTopic, registryTopic } = directoryWire;
    const store = await startStore();
    const [plain, stream] = await Promise.all([startCostEndpoint("plain"), startCostEndpoint("stream")]);
    const register = (): void => {
        store.write(registryTopic, "d1", plain.entry());
        store.write(registryTopic, "e1", stream.entry());
    };
    store.write(declarationsTopic, "config", costConfiguration);
    register();
    const heartbeats = setInterval(register, HEARTBEAT_MS);
    const proxyProcess = startCostProcess([PROXY, "127.0.0.1", plain.address, stream.address]);
    const profileOf = (kind: CostKind, index: number): Promise<CpuProfile> =>
        withFolder("request-cost", async folder => {
            const router = await startCostRouter({
                folder,
                host: hostOf(index),
                store: store.address,
                isProfiled: true,
            });
            await runAgainst({ ...router, idleMs: 0 }, kind, plan, plan.secondsPerRun);
            await router.stop();
            return readProfile(folder);
        });
    try {
        return await withFolder("request-cost", async folder => {
            const router = await startCostRouter({ folder, host: hostOf(0), store: store.address, isProfiled: false });
            const routerIdleMs = await idleMsPerSecond(router, plan.secondsPerRun);
            const targets = {
                router: { ...router, idleMs: routerIdleMs },
                proxy: { address: await proxyProcess.firstLine, pid: proxyProcess.pid, idleMs: 0 },
            };
            const kinds: KindCost[] = [];
            for (const [i, kind] of plan.kinds.entries()) {
                const warmUpSeconds = Math.min(WARM_UP_SECONDS, plan.secondsPerRun);
                await runAgainst(targets.proxy, kind, plan, warmUpSeconds);
                await runAgainst(targets.router, kind, plan, warmUpSeconds);
                const pairs = await pairsOf(plan, who => runAgainst(targets[who], kind, plan, plan.secondsPerRun));
                const routerMs = spreadOf(pairs.map(pair => pair.router.cpuMs));
                const shares = Object.entries(stageShares(await profileOf(kind, i + 1)));
                kinds.push({
                    kind,
                    sent: Math.round(plan.secondsPerRun * plan.perSecond) * plan.pairs,
                    answeredByRouter: pairs.reduce((sum, pair) => sum + pair.router.answered, 0),
                    answeredByProxy: pairs.reduce((sum, pair) => sum + pair.proxy.answered, 0),
                    routerMs,
                    proxyMs: spreadOf(pairs.map(pair => pair.proxy.cpuMs)),
                    ratio: spreadOf(pairs.map(pair => pair.router.cpuMs / pair.proxy.cpuMs)),
                    routerFirstByteMs: spreadOf(pairs.map(pair => pair.router.firstByteMs)),
                    proxyFirstByteMs: spreadOf(pairs.map(pair => pair.proxy.firstByteMs)),
                    stagesMs: Object.fromEntries(
                        shares.map(([stage, share]) => [stage, share * routerMs.median]),
                    ) as Record<CostStage, number>,
                });
            }
            await router.stop();
            const { perSecond, secondsPerRun, pairs } = plan;
            return { perSecond, secondsPerRun, pairs, routerIdleMs, kinds };
        });
    }
    finally {
        clearInterval(heartbeats);
        await proxyProcess.stop();
        [store, plain, stream].forEach(each => each.stop());
    }
}
