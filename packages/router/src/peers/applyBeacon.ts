import type { PeerSyncSources } from "./PeerSyncSources.js";
import type { ReceivedBeacon } from "./ReceivedBeacon.js";

/**
 * Applies a beacon of a peer to the parts of this VM.
 *
 * @param address peer address of the sender
 * @returns whether an order, a version that an engine has loaded, the limit of an endpoint, that it wants no requests, or
 *     the phase of a rollout was new to this VM
 */
export function applyBeacon(sources: PeerSyncSources, received: ReceivedBeacon, address: string): boolean {
    const { clock, declarations, allowances, endpointTable, prefixIndex, orders, quarantine, registry, peerLoad } =
        sources;
    const { endpointLimits, membership, relayBuffer, rollouts } = sources;
    const { beacon, sentAfter } = received;
    const now = clock.now();
    const role = membership.roleOf(beacon.vm);
    // Before the load: the sender's calls to a dead endpoint have ended, and it reports nothing unread any more.
    beacon.deaths.forEach(([, death]) => sources.unreadBodies.recordDeath(death));
    allowances.applyBeacon(beacon, role);
    declarations.applyBeacon(received, address);
    quarantine.applyBeacon(beacon);
    registry.applyBeacon(received);
    peerLoad.applyBeacon(beacon);
    relayBuffer.applyBeacon(beacon, role);
    const orderUpdates = beacon.ordered.map(([endpoint, version, ageMs, model]) =>
        endpointTable.recordOrder(endpoint, { model, version, issuedAt: now - ageMs, seenAt: now, isOwn: false })
    );
    beacon.cached.forEach(([holder, parts]) => prefixIndex.receiveParts(holder, parts, now));
    const weightsUpdates = beacon.engineVersions.map(([endpoint, version, model]) =>
        endpointTable.receiveWeights(endpoint, { model, version }, beacon.vm)
    );
    if (beacon.lease !== undefined) {
        // At least the age since this VM's own echoed timestamp, however long the beacon was delayed.
        const ageMs = Math.max(0, beacon.lease.ageMs + Math.min(0, sentAfter - now));
        orders.applyLeaseEvent({ kind: "peer-record", ...beacon.lease, ageMs });
    }
    const isRolloutNew = rollouts.receiveRows(beacon.rollouts, sentAfter);
    const isLimitNew = endpointLimits.applyBeacon(beacon.limits);
    const isAvailabilityNew = sources.availability.applyBeacon(beacon.availability);
    return isRolloutNew || isLimitNew || isAvailabilityNew || [...orderUpdates, ...weightsUpdates].includes(true);
}
