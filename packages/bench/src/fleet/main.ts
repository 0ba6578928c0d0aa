/** Measures a release of new weights on running processes, from acceptance of the note until every engine has switched. */
import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { runProgram } from "../process/runProgram.js";
import { applyRelease } from "../topology/applyRelease.js";
import type { TopologyPlan } from "../topology/TopologyPlan.js";
import { waitUntil } from "../topology/waitUntil.js";
import { withTopology } from "../topology/withTopology.js";
import { readEngineVersions } from "./readEngineVersions.js";
import { startTraffic } from "./startTraffic.js";

const REQUEST_INTERVAL_MS = 40;
const LOAD_TIMEOUT_MS = 30_000;
const UNLOAD_TIMEOUT_MS = 60_000;
/** Wait for the daemons to claim the order leases, which they already hold in a running installation. */
const LEASE_CLAIM_MS = 8_000;
const SETTLE_MS = 2_000;

const formatSeconds = (ms: number): string => `${(ms / 1_000).toFixed(2)} s`;

/** Plans an installation in which every second engine refuses orders with an old fencing token; the others ignore it. */
const mixedFencingPlan = (folder: string): TopologyPlan => {
    const plan = demoPlan(folder);
    const endpoints = plan.endpoints.map((endpoint, i) =>
        endpoint.kind === "model" && i % 2 === 0
            ? { ...endpoint, flags: { ...endpoint.flags, "checks-fencing": "" } }
            : endpoint
    );
    return { ...plan, endpoints };
};

const run = (): Promise<void> =>
    withTopology("fleet", mixedFencingPlan, async topology => {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        await new Promise(resolve => setTimeout(resolve, LEASE_CLAIM_MS));
        const traffic = startTraffic(topology, demo, REQUEST_INTERVAL_MS);
        const inForceMs = await applyRelease(topology, {
            note: "second version",
            changed: { models: [{ name: demo.model, version: "v2", pieceTokens: 256, defaultMaxTokens: 32 }] },
        });
        const allHold = async (version: string): Promise<boolean> =>
            (await readEngineVersions(topology)).every(engine => engine.versions.includes(version));
        const allHoldOnly = async (version: string): Promise<boolean> =>
            (await readEngineVersions(topology)).every(engine => engine.versions.join() === version);
        const loadMs = await waitUntil("v2 on every engine", LOAD_TIMEOUT_MS, () => allHold("v2"));
        const unloadMs = await waitUntil("v1 gone from every engine", UNLOAD_TIMEOUT_MS, () => allHoldOnly("v2"));
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        const { complete, refused, broken } = await traffic.stop();
        console.log(`note in force on ${topology.daemons.length} daemons after ${formatSeconds(inForceMs)}`);
        console.log(`v2 held by every engine after ${formatSeconds(inForceMs + loadMs)}`);
        console.log(`v1 gone from every engine after ${formatSeconds(inForceMs + loadMs + unloadMs)}`);
        console.log(`requests meanwhile: ${complete} complete, ${refused} refused, ${broken} broken`);
    });

runProgram("measure:fleet", run);
