import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { ServiceRun } from "@azureshunt/standins";

import { countDoubledBookings } from "../analysis/countDoubledBookings.js";
import { figuresOfPhase } from "../analysis/figuresOfPhase.js";
import { percentilesOf } from "../analysis/percentilesOf.js";
import { readEngineHistories } from "../analysis/readEngineHistories.js";
import { replayCaches } from "../analysis/replayCaches.js";
import type { RunFigures } from "../analysis/RunFigures.js";
import type { RunRecord } from "../analysis/RunRecord.js";
import { shiftRecoverySeconds } from "../analysis/shiftRecoverySeconds.js";
import { runOpenLoop } from "../load/runOpenLoop.js";
import { readProcessUsage } from "../process/readProcessUsage.js";
import { applyRelease } from "../topology/applyRelease.js";
import { callHttp } from "../topology/callHttp.js";
import { startTopology } from "../topology/startTopology.js";
import type { Topology } from "../topology/Topology.js";
import { waitUntil } from "../topology/waitUntil.js";
import type { Phase } from "../workload/Phase.js";
import { planArrivals } from "../workload/planArrivals.js";
import type { Workload } from "../workload/Workload.js";
import { historyFile } from "./historyFile.js";
import { measureNames } from "./measureNames.js";
import { measureNote } from "./measureNote.js";
import { measurePlan } from "./measurePlan.js";
import { readCounters } from "./readCounters.js";

const MS_PER_SECOND = 1_000;
const READY_TIMEOUT_MS = 10_000;

/** Describes one run of a workload under a policy. */
type RunPlan = {
    readonly workload: Workload;
    readonly policy: string;
    readonly seed: number;
    readonly phases: readonly Phase[];
    /** Injects the failure of a phase; called when the phase begins. The traffic does not wait for it. */
    readonly fail: (phase: string, topology: Topology) => Promise<void>;
    /** Called with a line of progress when a phase begins or an injected failure could not be caused. */
    readonly say: (line: string) => void;
};

const sumUsage = ({ daemons }: Topology) => {
    const all = daemons.map(daemon => readProcessUsage(daemon.process().pid));
    return {
        cpuMs: all.reduce((sum, { cpuMs }) => sum + cpuMs, 0),
        transferredBytes: all.reduce((sum, { transferredBytes }) => sum + transferredBytes, 0),
    };
};

const readServiceRuns = async ({ endpoints }: Topology): Promise<readonly ServiceRun[]> => {
    const services = endpoints.filter(({ kind }) => kind === "service");
    const answers = await Promise.all(services.map(({ url }) => callHttp({ method: "GET", url: `${url}/runs` })));
    return answers.flatMap(({ text }) => (JSON.parse(text) as { readonly runs: readonly ServiceRun[]; }).runs);
};

const waitUntilServing = async ({ daemons }: Topology, key: string): Promise<void> => {
    await Promise.all(daemons.map(({ vm, caller }) =>
        waitUntil(`${vm} to serve`, READY_TIMEOUT_MS, async () => {
            const { status } = await callHttp({ method: "GET", url: `${caller}/v1/models`, key });
            return status === 200;
        })
    ));
};

/** Sets the speed of the engines; called when a phase begins. The traffic does not wait for it. */
const setEngineSlowness = async ({ endpoints }: Topology, slowFactor: number): Promise<void> => {
    const engines = endpoints.filter(({ kind }) => kind === "model");
    await Promise.all(
        engines.map(({ url }) => callHttp({ method: "POST", url: `${url}/control`, body: { slowFactor } })),
    );
};

const steadyHitRate = (run: RunRecord): number => {
    const index = run.phases.findIndex(({ name }) => name === "steady");
    return figuresOfPhase(run, index).hitRate;
};

const recoverySecondsOf = (run: RunRecord): number | undefined => {
    const index = run.phases.findIndex(({ name }) => name === "shifted");
    if (index < 0) {
        return undefined;
    }
    const before = run.phases.slice(0, index).reduce((sum, { seconds }) => sum + seconds, 0) * MS_PER_SECOND;
    const shiftedAt = run.startedAt + before;
    return shiftRecoverySeconds(run.cacheUses.filter(({ at }) => at >= shiftedAt), shiftedAt, steadyHitRate(run));
};

const runTraffic = async (plan: RunPlan & { readonly folder: string; }, topology: Topology): Promise<RunFigures> => {
    const { workload, phases, policy, seed, say } = plan;
    const { note, keys } = measureNote(workload, topology);
    await applyRelease(topology, note);
    await waitUntilServing(topology, [...keys.values()][0] ?? "");
    const arrivals = planArrivals(workload, phases, seed);
    const before = sumUsage(topology);
    const startedAt = performance.timeOrigin + performance.now();
    const outcomes = await runOpenLoop(
        {
            daemons: topology.daemons.map(({ caller }) => caller),
            keyOf: organisation => keys.get(organisation) ?? "",
            ...measureNames,
        },
        workload,
        arrivals,
        name => {
            say(`${workload.name} ${policy}: ${name}`);
            const slowness = phases.find(phase => phase.name === name)?.engineSlowness ?? 1;
            void setEngineSlowness(topology, slowness).catch(() => undefined);
            plan.fail(name, topology).catch((err: unknown) => say(`failure not brought about: ${String(err)}`));
        },
    );
    const after = sumUsage(topology);
    const engines = topology.endpoints.filter(({ kind }) => kind === "model");
    const histories = readEngineHistories(
        engines.map(({ name }) => ({ engine: name, file: historyFile(plan.folder, name) })),
    );
    const run: RunRecord = {
        workload,
        phases,
        outcomes,
        cacheUses: replayCaches(histories, workload.engine.pieceTokens),
        startedAt,
    };
    return {
        workload: workload.name,
        policy,
        seed,
        seconds: phases.reduce((sum, phase) => sum + phase.seconds, 0),
        phases: phases.map((_, i) => figuresOfPhase(run, i)),
        shiftRecoverySeconds: recoverySecondsOf(run),
        doubledBookings: countDoubledBookings(await readServiceRuns(topology)),
        daemonCpuMsPerRequest: (after.cpuMs - before.cpuMs) / outcomes.length,
        daemonBytesPerRequest: (after.transferredBytes - before.transferredBytes) / outcomes.length,
        counters: await readCounters(topology.daemons),
        generatorLateness: percentilesOf(outcomes.map(({ sentLateMs }) => sentLateMs)),
    };
};

/** Figures of a run; `ended` resolves when all processes of the run have ended and its folder is deleted. */
type MeasuredRun = { readonly figures: RunFigures; readonly ended: Promise<void>; };

/** Starts the installation of a workload, runs its traffic once, and begins to end its processes. */
export async function measureRun(plan: RunPlan): Promise<MeasuredRun> {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-measure-"));
    const topology = await startTopology(measurePlan(plan.workload, plan.policy, plan.seed, folder));
    const stopAndCleanUp = async (): Promise<void> => {
        await topology.stop();
        rmSync(folder, { recursive: true, force: true });
    };
    try {
        return { figures: await runTraffic({ ...plan, folder }, topology), ended: stopAndCleanUp() };
    }
    catch (err) {
        await stopAndCleanUp();
        throw err;
    }
}
