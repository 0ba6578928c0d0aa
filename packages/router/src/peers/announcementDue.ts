import type { Millis } from "@azureshunt/core";

/** Inputs that decide whether a VM has to read or write the VM list in the store. */
type AnnouncementView = {
    readonly upMs: Millis;
    /** Whether all VMs start for the first time, so that the list is empty. */
    readonly isFirstStart: boolean;
    /** Time for which this VM has been a relay; 0 if it is none. */
    readonly relayForMs: Millis;
    /** Whether no peer is alive. */
    readonly isAlone: boolean;
    /** Time since the list was read; `Infinity` until then. */
    readonly listedMs: Millis;
    /**
     * Time since this VM was written into the list, or since the start of its process if it was found there; `Infinity`
     * until then.
     */
    readonly writtenMs: Millis;
};

/** Time in which VMs find each other through their seeds on a first start. */
const SEEDS_MS: Millis = 1_000;
/**
 * Time for which a VM must take itself for a relay before it counts as one here: every VM does so until it has received
 * beacons of others.
 */
const RELAY_MS: Millis = 1_500;
/** Time until a VM that is alone, or that was written, reads the list again: others may have been written meanwhile. */
const RECHECK_MS: Millis = 2_000;

/**
 * Returns whether this VM has to read the VM list in the store (`list`) or to write itself into it (`put`) now.
 *
 * When hundreds of VMs start at once, the store would get a read and a write from each. So a VM that receives beacons
 * of relays does not read the list, and only VMs that others have to find are written.
 */
export function announcementDue(view: AnnouncementView): "list" | "put" | undefined {
    const { upMs, isFirstStart, relayForMs, isAlone, listedMs, writtenMs } = view;
    const isRelay = relayForMs >= RELAY_MS;
    if (listedMs === Infinity) {
        return !isFirstStart || (upMs >= SEEDS_MS && (isAlone || isRelay)) ? "list" : undefined;
    }
    if (isRelay && writtenMs === Infinity) {
        return "put";
    }
    const isStale = isAlone || (writtenMs >= RECHECK_MS && writtenMs < listedMs);
    return isStale && listedMs >= RECHECK_MS ? "list" : undefined;
}
