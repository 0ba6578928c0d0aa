import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

/** Versions that one engine holds. */
type EngineHoldings = { readonly name: string; readonly versions: readonly string[]; };

/** Asks every engine which versions it holds. */
export function engineHoldings(topology: Topology): Promise<readonly EngineHoldings[]> {
    const engines = topology.endpoints.filter(endpoint => endpoint.kind === "model");
    return Promise.all(engines.map(async ({ name, url }) => {
        const res = await callHttp({ method: "GET", url: `${url}/v1/state` });
        const { holds } = JSON.parse(res.text) as { readonly holds: readonly { readonly version: string; }[]; };
        return { name, versions: holds.map(held => held.version) };
    }));
}
