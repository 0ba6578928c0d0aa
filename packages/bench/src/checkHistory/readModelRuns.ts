import type { ModelRun } from "@azureshunt/history";

import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

/** Reads the histories of all engines. */
export async function readModelRuns(topology: Topology): Promise<readonly ModelRun[]> {
    const engines = topology.endpoints.filter(endpoint => endpoint.kind === "model");
    const histories = await Promise.all(engines.map(engine => callHttp({ method: "GET", url: `${engine.url}/runs` })));
    return histories.flatMap(({ text }) => (JSON.parse(text) as { readonly runs: readonly ModelRun[]; }).runs);
}
