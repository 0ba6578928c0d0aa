import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

const POLL_MS = 50;

/** A decrease of the revision on a daemon within one process lifetime. */
type Reversion = { readonly vm: string; readonly from: number; readonly to: number; };

type RevisionWatch = {
    readonly reversions: () => readonly Reversion[];
    readonly polls: () => number;
    readonly stop: () => void;
};

/** Starts polling the revision in force on each daemon. */
export function watchRevisions({ daemons, adminKey }: Topology): RevisionWatch {
    const newest = new Map<string, { readonly pid: number; readonly revision: number; }>();
    const reversions: Reversion[] = [];
    const state = { polls: 0, isStopped: false };

    const poll = async (daemon: Topology["daemons"][number]): Promise<void> => {
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
        state.polls += 1;
    };
    const pollRepeatedly = async (daemon: Topology["daemons"][number]): Promise<void> => {
        await poll(daemon).catch(() => undefined);
        if (!state.isStopped) {
            setTimeout(() => void pollRepeatedly(daemon), POLL_MS);
        }
    };
    daemons.forEach(daemon => void pollRepeatedly(daemon));
    return {
        reversions: () => reversions,
        polls: () => state.polls,
        stop: () => {
            state.isStopped = true;
        },
    };
}
