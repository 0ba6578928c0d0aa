import type { VmId } from "@azureshunt/core";

import type { BeaconTarget } from "./BeaconTarget.js";

const byName = (a: BeaconTarget, b: BeaconTarget): number => (a.vm ?? "") < (b.vm ?? "") ? -1 : 1;

/**
 * Puts those to be told in the order of their names, beginning behind this VM's own. Of the VMs that begin a round at the
 * same moment, each batch then tells each VM as many times as a batch is large, and no VM hears of all at once.
 */
export function ringOrder(self: VmId, targets: readonly BeaconTarget[]): readonly BeaconTarget[] {
    const named = targets.filter(({ vm }) => vm !== undefined).sort(byName);
    const unnamed = targets.filter(({ vm }) => vm === undefined);
    const first = named.findIndex(({ vm }) => vm !== undefined && vm > self);
    const from = first < 0 ? 0 : first;
    return [...named.slice(from), ...named.slice(0, from), ...unnamed];
}
