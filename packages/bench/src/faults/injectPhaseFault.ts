import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

const setLogUnavailable = async ({ platform }: Topology, isUnavailable: boolean): Promise<void> => {
    const body = { downParts: isUnavailable ? ["log"] : [] };
    await callHttp({ method: "POST", url: `${platform.url}/control`, body });
};

/** Injects the fault that a phase is named after; does nothing in phases without a fault. */
export async function injectPhaseFault(phase: string, topology: Topology): Promise<void> {
    switch (phase) {
        case "engine-killed":
            topology.endpoints.find(({ kind }) => kind === "model")?.signal("SIGKILL");
            return;
        case "log-down":
            await setLogUnavailable(topology, true);
            return;
        case "log-back":
            await setLogUnavailable(topology, false);
            return;
        default:
            return;
    }
}
