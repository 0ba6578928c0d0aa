import type { Incarnation, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";

/**
 * How the process of a VM ended before the present one: `stopped` with a final beacon, `unannounced` without one, as one
 * that is killed or fails, or `unknown`, as this VM received nothing of it.
 */
type PeerEnd = "stopped" | "unannounced" | "unknown";

/** What is known of how processes of peers ended. */
type PeerEnds = {
    /** To be called for each beacon. */
    readonly observe: (beacon: Pick<Beacon, "vm" | "incarnation" | "isLeaving">) => void;
    /** Returns how the process of a VM ended before the one of an incarnation. */
    readonly endBefore: (vm: VmId, incarnation: Incarnation, previous: Incarnation | undefined) => PeerEnd;
};

/** VMs that leave for good are not forgotten otherwise. */
const MAX_STOPPED = 1_000;

/** Creates a record of the VMs whose processes have stopped in an orderly way. */
export function createPeerEnds(): PeerEnds {
    const stopped = new Map<VmId, Incarnation>();
    return {
        observe: ({ vm, incarnation, isLeaving }) => {
            if (!isLeaving) {
                return;
            }
            stopped.delete(vm);
            stopped.set(vm, incarnation);
            [...stopped.keys()].slice(0, Math.max(0, stopped.size - MAX_STOPPED)).forEach(each => stopped.delete(each));
        },
        endBefore: (vm, incarnation, previous) => {
            const last = stopped.get(vm);
            if (last !== undefined && last !== incarnation) {
                stopped.delete(vm);
                return previous === undefined || previous === last ? "stopped" : "unannounced";
            }
            return previous === undefined ? "unknown" : "unannounced";
        },
    };
}
