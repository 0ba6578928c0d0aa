import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

const setLogDown = async ({ platform }: Topology, down: boolean): Promise<void> => {
    const body = { downParts: down ? ["log"] : [] };
    await callHttp({ method: "POST", url: `${platform.url}/control`, body });
};

/** Brings about the failure that a phase is named after; phases without one do nothing. */
export async function bringAbout(phase: string, topology: Topology): Promise<void> {
    switch (phase) {
        case "engine-killed":
            topology.endpoints.find(({ kind }) => kind === "model")?.signal("SIGKILL");
            return;
        case "log-down":
            await setLogDown(topology, true);
            return;
        case "log-back":
            await setLogDown(topology, false);
            return;
        default:
            return;
    }
}
