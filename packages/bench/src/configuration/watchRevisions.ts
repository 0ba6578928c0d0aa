import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

const POLL_MS = 50;

/** A revision that went down on a daemon while its process went on running. */
type Reversion = { readonly vm: string; readonly from: number; readonly to: number; };

/** Watches the revisions that all daemons have in force. */
type RevisionWatch = {
    readonly reversions: () => readonly Reversion[];
    readonly looks: () => number;
    readonly stop: () => void;
};

/** Starts to ask all daemons for their revisions again and again. */
export function watchRevisions({ daemons, adminKey }: Topology): RevisionWatch {
    const newest = new Map<string, { readonly pid: number; readonly revision: number; }>();
    const reversions: Reversion[] = [];
    const state = { looks: 0, isStopped: false };

    const look = async (daemon: Topology["daemons"][number]): Promise<void> => {
        const { pid } = daemon.process();
        const { text } = await callHttp({ method: "GET", url: `${daemon.admin}/admin/v1/status`, key: adminKey });
        const { revision } = JSON.parse(text) as { readonly revision: number; };
        const before = newest.get(daemon.vm);
        if (before?.pid === pid && revision < before.revision) {
            reversions.push({ vm: daemon.vm, from: before.revision, to: revision });
        }
        if (daemon.process().pid === pid) {
            newest.set(daemon.vm, { pid, revision });
        }
        state.looks += 1;
    };
    const follow = async (daemon: Topology["daemons"][number]): Promise<void> => {
        await look(daemon).catch(() => undefined);
        if (!state.isStopped) {
            setTimeout(() => void follow(daemon), POLL_MS);
        }
    };
    daemons.forEach(daemon => void follow(daemon));
    return {
        reversions: () => reversions,
        looks: () => state.looks,
        stop: () => {
            state.isStopped = true;
        },
    };
}
