import { callHttp } from "./callHttp.js";
import type { Topology } from "./Topology.js";
import { waitUntil } from "./waitUntil.js";

const IN_FORCE_BOUND_MS = 7_000;

/**
 * Applies a release note through the first daemon's administration API and waits until all daemons have it in force.
 *
 * @param note the note, as an object
 * @param revision the revision that it is to become
 * @returns milliseconds until it was in force everywhere
 * @throws Error when it is not accepted or not in force in time
 */
export async function applyNote(topology: Topology, note: object, revision: number): Promise<number> {
    const { daemons, adminKey } = topology;
    const begun = performance.now();
    const res = await callHttp({
        method: "POST",
        url: `${daemons[0]?.admin ?? ""}/admin/v1/releases`,
        key: adminKey,
        body: note,
    });
    if (res.status >= 300) {
        throw new Error(`the release note was not accepted: ${res.status} ${res.text}`);
    }
    const revisionOf = async (admin: string): Promise<number | undefined> => {
        const status = await callHttp({ method: "GET", url: `${admin}/admin/v1/status`, key: adminKey });
        return (JSON.parse(status.text) as { readonly revision?: number; }).revision;
    };
    await waitUntil(`revision ${revision} on every daemon`, IN_FORCE_BOUND_MS, async () => {
        const revisions = await Promise.all(daemons.map(daemon => revisionOf(daemon.admin)));
        return revisions.every(found => found === revision);
    });
    return performance.now() - begun;
}
