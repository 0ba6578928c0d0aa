import type { LoadTarget } from "../load/LoadTarget.js";
import { measureNames } from "../measure/measureNames.js";
import { measureNote } from "../measure/measureNote.js";
import { measurePlan } from "../measure/measurePlan.js";
import { applyRelease } from "../topology/applyRelease.js";
import type { Topology } from "../topology/Topology.js";
import { withTopology } from "../topology/withTopology.js";
import type { Workload } from "../workload/Workload.js";

const SEED = 1;

/**
 * Starts the installation of a workload, puts its configuration in force, calls a function with it, and ends all
 * processes afterwards.
 *
 * @param use called with the folder of the engines' histories as its last argument
 */
export function withWorkload<T>(
    workload: Workload,
    use: (topology: Topology, target: LoadTarget, folder: string) => Promise<T>,
): Promise<T> {
    const planOf = (folder: string) => measurePlan(workload, "azureshunt", SEED, folder);
    return withTopology("slopes", planOf, async (topology, folder) => {
        const { note, keys } = measureNote(workload, topology);
        await applyRelease(topology, note);
        const target = {
            daemons: topology.daemons.map(({ caller }) => caller),
            keyOf: (organisation: string) => keys.get(organisation) ?? "",
            ...measureNames,
        };
        return await use(topology, target, folder);
    });
}
