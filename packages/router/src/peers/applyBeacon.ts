import type { Heard } from "./Heard.js";
import type { NewsSources } from "./NewsSources.js";

/**
 * Applies a beacon of a peer to the parts of this VM.
 *
 * @param address peer address of the sender
 * @param isRestarted whether the sender's process is a different one from that of its last beacon
 * @returns whether an order, or a version that an engine has loaded, was new to this VM
 */
export function applyBeacon(sources: NewsSources, received: Heard, address: string, isRestarted: boolean): boolean {
    const { clock, knowledge, allowances, book, chains, orders, quarantine, registry, othersLoad } = sources;
    const { membership, passing } = sources;
    const { beacon, sentAfter } = received;
    const now = clock.now();
    const role = membership.roleOf(beacon.vm);
    allowances.hear(beacon, role, isRestarted);
    knowledge.hear(received, address);
    quarantine.hear(beacon);
    registry.hear(received);
    othersLoad.applyBeacon(beacon);
    passing.applyBeacon(beacon, role);
    const orderUpdates = beacon.ordered.map(([endpoint, version, ageMs]) =>
        book.ordered(endpoint, { version, givenAt: now - ageMs, seenAt: now, isOwn: false })
    );
    beacon.cached.forEach(([holder, parts]) => chains.hear(holder, parts, now));
    const weightsUpdates = beacon.engineVersions.map(([endpoint, version]) => book.heardWeights(endpoint, version));
    if (beacon.lease !== undefined) {
        // At least the age since this VM's own echoed timestamp, however long the beacon was delayed.
        const ageMs = Math.max(0, beacon.lease.ageMs + Math.min(0, sentAfter - now));
        orders.tell({ kind: "vouched", ...beacon.lease, ageMs });
    }
    return [...orderUpdates, ...weightsUpdates].includes(true);
}
