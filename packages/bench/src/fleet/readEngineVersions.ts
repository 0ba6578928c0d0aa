import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

/** Weight versions that one engine has loaded. */
type EngineVersions = { readonly name: string; readonly versions: readonly string[]; };

/** Reads from every engine which weight versions it has loaded. */
export function readEngineVersions(topology: Topology): Promise<readonly EngineVersions[]> {
    const engines = topology.endpoints.filter(endpoint => endpoint.kind === "model");
    return Promise.all(engines.map(async ({ name, url }) => {
        const res = await callHttp({ method: "GET", url: `${url}/v1/state` });
        const { holds } = JSON.parse(res.text) as { readonly holds: readonly { readonly version: string; }[]; };
        return { name, versions: holds.map(loaded => loaded.version) };
    }));
}
