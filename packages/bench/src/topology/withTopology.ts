import { startTopology } from "./startTopology.js";
import type { Topology } from "./Topology.js";
import type { TopologyPlan } from "./TopologyPlan.js";
import { withFolder } from "./withFolder.js";

/**
 * Starts an installation in a temporary folder, calls a function with it, and ends all processes afterwards.
 *
 * @param name part of the folder's name
 * @param planOf plans the installation, with its settings and logs in the folder
 */
export function withTopology<T>(
    name: string,
    planOf: (folder: string) => TopologyPlan,
    use: (topology: Topology, folder: string) => Promise<T>,
): Promise<T> {
    return withFolder(name, async folder => {
        const topology = await startTopology(planOf(folder));
        try {
            return await use(topology, folder);
        }
        finally {
            await topology.stop();
        }
    });
}
