import { targetRowsOf } from "../knowledge/targetRowsOf.js";
import type { LocalState } from "./LocalState.js";
import type { PeerSyncSources } from "./PeerSyncSources.js";

const leaseState = ({ orders, clock }: PeerSyncSources): LocalState["lease"] => {
    const { tail } = orders.lease();
    return tail === undefined
        ? undefined
        : { offset: tail.offset, holder: tail.holder, ageMs: clock.now() - tail.knownSince };
};

const ownLoad = ({ endpointTable, unreadBodies }: PeerSyncSources): NonNullable<LocalState["load"]> =>
    endpointTable.ownShares().map(([endpoint, share]) => {
        const unreadBytes = unreadBodies.stalledBytes(endpoint);
        return [endpoint, unreadBytes > 0 ? { ...share, unreadBytes } : share] as const;
    });

/** Collects this VM's own state for a beacon, except for the engine versions, which are sent in rotation. */
export function collectLocalState(sources: PeerSyncSources): Omit<LocalState, "engineVersions"> {
    const { clock, declarations, allowances, endpointLimits, demand, quarantine, registry, rollouts } = sources;
    const { configuration, confirmedAt, weights } = declarations.current();
    return {
        revision: configuration?.revision ?? -1,
        confirmedMs: confirmedAt === -Infinity ? undefined : clock.now() - confirmedAt,
        weights: targetRowsOf(weights, clock.now()),
        spent: allowances.spent(),
        load: [...ownLoad(sources), ...endpointLimits.loadRows()],
        demand: demand.rate(),
        lease: leaseState(sources),
        ...quarantine.beaconFields(),
        limits: endpointLimits.rows(),
        availability: sources.availability.rows(),
        rollouts: rollouts.rows(),
        registry: registry.beaconFields(),
        hasStore: declarations.hasStore(),
    };
}
