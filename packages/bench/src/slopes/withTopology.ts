import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { LoadTarget } from "../load/LoadTarget.js";
import { measureNames } from "../measure/measureNames.js";
import { measureNote } from "../measure/measureNote.js";
import { measurePlan } from "../measure/measurePlan.js";
import { applyRelease } from "../topology/applyRelease.js";
import { startTopology } from "../topology/startTopology.js";
import type { Topology } from "../topology/Topology.js";
import type { Workload } from "../workload/Workload.js";

const SEED = 1;

/**
 * Starts a workload's installation with its configuration in force, uses it, and ends all that was started.
 *
 * @param use gets the folder with the histories of the engines as well
 */
export async function withTopology<T>(
    workload: Workload,
    use: (topology: Topology, target: LoadTarget, folder: string) => Promise<T>,
): Promise<T> {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-slopes-"));
    const topology = await startTopology(measurePlan(workload, "azureshunt", SEED, folder));
    try {
        const { note, keys } = measureNote(workload, topology);
        await applyRelease(topology, note);
        return await use(topology, {
            daemons: topology.daemons.map(({ caller }) => caller),
            keyOf: organisation => keys.get(organisation) ?? "",
            ...measureNames,
        }, folder);
    }
    finally {
        await topology.stop();
        rmSync(folder, { recursive: true, force: true });
    }
}
