import type { VmId } from "@azureshunt/core";

import type { BeaconTarget } from "./BeaconTarget.js";

const byName = (a: BeaconTarget, b: BeaconTarget): number => (a.vm ?? "") < (b.vm ?? "") ? -1 : 1;

/**
 * Sorts targets by name, starting after this VM's own name. When VMs begin a round at the same moment, each VM then
 * gets as many beacons per batch as a batch has targets, and never all of them at once.
 */
export function ringOrder(self: VmId, targets: readonly BeaconTarget[]): readonly BeaconTarget[] {
    const named = targets.filter(({ vm }) => vm !== undefined).sort(byName);
    const unnamed = targets.filter(({ vm }) => vm === undefined);
    const first = named.findIndex(({ vm }) => vm !== undefined && vm > self);
    const from = first < 0 ? 0 : first;
    return [...named.slice(from), ...named.slice(0, from), ...unnamed];
}
