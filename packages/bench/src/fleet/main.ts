/** Measures a release of new weights on running processes: from the note accepted to every engine matching. */
import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { runProgram } from "../process/runProgram.js";
import { applyRelease } from "../topology/applyRelease.js";
import type { TopologyPlan } from "../topology/TopologyPlan.js";
import { waitUntil } from "../topology/waitUntil.js";
import { withTopology } from "../topology/withTopology.js";
import { engineHoldings } from "./engineHoldings.js";
import { startTraffic } from "./startTraffic.js";

const REQUEST_EVERY_MS = 40;
const LOADED_BOUND_MS = 30_000;
const UNLOADED_BOUND_MS = 60_000;
/** Lets daemons claim the order leases first, as they have in a running installation. */
const LEASE_MS = 8_000;
const SETTLE_MS = 2_000;

const seconds = (ms: number): string => `${(ms / 1_000).toFixed(2)} s`;

/** Every second engine refuses orders with an old fencing number, the others ignore it. */
const mixedPlan = (folder: string): TopologyPlan => {
    const plan = demoPlan(folder);
    const endpoints = plan.endpoints.map((endpoint, i) =>
        endpoint.kind === "model" && i % 2 === 0
            ? { ...endpoint, flags: { ...endpoint.flags, "checks-fencing": "" } }
            : endpoint
    );
    return { ...plan, endpoints };
};

const run = (): Promise<void> =>
    withTopology("fleet", mixedPlan, async topology => {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        await new Promise(resolve => setTimeout(resolve, LEASE_MS));
        const traffic = startTraffic(topology, demo, REQUEST_EVERY_MS);
        const inForce = await applyRelease(topology, {
            note: "second version",
            changed: { models: [{ name: demo.model, version: "v2", pieceTokens: 256, defaultMaxTokens: 32 }] },
        });
        const holdAll = async (wanted: string): Promise<boolean> =>
            (await engineHoldings(topology)).every(engine => engine.versions.includes(wanted));
        const holdOnly = async (wanted: string): Promise<boolean> =>
            (await engineHoldings(topology)).every(engine => engine.versions.join() === wanted);
        const loaded = await waitUntil("v2 on every engine", LOADED_BOUND_MS, () => holdAll("v2"));
        const unloaded = await waitUntil("v1 gone from every engine", UNLOADED_BOUND_MS, () => holdOnly("v2"));
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        const { complete, refused, broken } = await traffic.stop();
        console.log(`note in force on ${topology.daemons.length} daemons after ${seconds(inForce)}`);
        console.log(`v2 held by every engine after ${seconds(inForce + loaded)}`);
        console.log(`v1 gone from every engine after ${seconds(inForce + loaded + unloaded)}`);
        console.log(`requests meanwhile: ${complete} complete, ${refused} refused, ${broken} broken`);
    });

runProgram("measure:fleet", run);
