import type { FailureDomain, Peer, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";
import type { SuspectKey } from "@azureshunt/quarantine";

/**
 * Returns whether a VM is the one that probes whether endpoints still crash on a suspect. All VMs choose the same one
 * while they see the same peers; a VM of a large fleet knows all VMs of its own failure domain only.
 *
 * @param peers the other VMs that are alive
 */
export function isProber(
    key: SuspectKey,
    self: { readonly vm: VmId; readonly failureDomain: FailureDomain; },
    peers: readonly Pick<Peer, "vm" | "failureDomain">[],
): boolean {
    const known = [self, ...peers];
    const domains = new Set(known.flatMap(({ failureDomain }) => failureDomain ?? []));
    const [domain] = rendezvousOrder(key, [...domains]);
    const vms = known.filter(({ failureDomain }) => failureDomain === domain).map(({ vm }) => vm);
    return rendezvousOrder(key, vms)[0] === self.vm;
}
