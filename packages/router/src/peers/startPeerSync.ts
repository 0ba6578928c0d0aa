import type { Incarnation } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { RouterSettings } from "../RouterSettings.js";
import { applyBeacon } from "./applyBeacon.js";
import type { Beacon } from "./Beacon.js";
import type { BeaconScope } from "./BeaconScope.js";
import { collectLocalState } from "./collectLocalState.js";
import { collectRelayedSums } from "./collectRelayedSums.js";
import { createPeerEnds } from "./createPeerEnds.js";
import { createVersionSelector } from "./createVersionSelector.js";
import type { PeerSyncSources } from "./PeerSyncSources.js";
import { startBeacons } from "./startBeacons.js";

type PeerSyncParts = {
    readonly sources: PeerSyncSources;
    readonly settings: Pick<RouterSettings, "vm" | "failureDomain" | "capacity" | "listen">;
    readonly incarnation: Incarnation;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Checks for a suspension of this process, before any state is sent or received as fresh. */
    readonly checkSuspension: () => void;
    /** Called after a beacon was applied. */
    readonly onApplied?: () => void;
    /** Applies a datagram that is no beacon; returns `false` if it is of no known kind. */
    readonly receiveOther: (datagram: Buffer) => boolean;
    /** Binds an address once it is free. */
    readonly claim: (address: string, bind: () => Promise<void>) => Promise<void>;
};

/** Starts to send this VM's state to its peers, and to apply the state that they send. */
export function startPeerSync(parts: PeerSyncParts): ReturnType<typeof startBeacons> {
    const { sources, settings, incarnation, logger, metrics, checkSuspension } = parts;
    const { clock, endpointTable, prefixIndex, membership, peerLoad, relayBuffer } = sources;
    const { vm, failureDomain, capacity } = settings;
    const selectVersions = createVersionSelector(endpointTable, clock.now);

    const peerEnds = createPeerEnds();

    const countStart = (beacon: Beacon, previous: Incarnation | undefined, address: string): void => {
        const previousEnd = peerEnds.endBefore(beacon.vm, beacon.incarnation, previous);
        metrics.count(
            "azureshunt_peer_starts_total",
            "Processes of peers that have started, by how the one before ended.",
            { previousEnd },
        );
        logger.info(
            { peer: beacon.vm, address, incarnation: beacon.incarnation, upMs: beacon.upMs, previousEnd },
            "Received the first beacon of a VM incarnation.",
        );
    };
    const receive = (beacon: Beacon, address: string): void => {
        checkSuspension();
        peerEnds.observe(beacon);
        const accepted = membership.applyBeacon(beacon, address);
        if (accepted === undefined) {
            return;
        }
        if (accepted.previous?.incarnation !== beacon.incarnation) {
            countStart(beacon, accepted.previous?.incarnation, address);
        }
        const isUrgent = applyBeacon(sources, accepted.received, address);
        if (isUrgent && membership.isRelay()) {
            beacons.sendSoon();
        }
        parts.onApplied?.();
    };
    const isRelayScope = (scope: BeaconScope): scope is "domain" | "fleet" => scope === "domain" || scope === "fleet";
    const beacons = startBeacons({
        clock,
        address: settings.listen.peers,
        self: { vm, incarnation, failureDomain, capacity },
        targets: round => {
            // Before peers are taken for silent.
            checkSuspension();
            return membership.targets(round);
        },
        usualTargets: membership.usualTargets,
        intervalMs: membership.beaconIntervalMs,
        memberFields: membership.memberFields,
        localState: () => {
            // After a suspension, a VM must not confirm the state from before as current.
            checkSuspension();
            return { ...collectLocalState(sources), engineVersions: selectVersions() };
        },
        ordered: scope => [...endpointTable.ownOrders(), ...(isRelayScope(scope) ? relayBuffer.ordered(scope) : [])],
        drainCached: prefixIndex.drainUpdates,
        drainRelayed: relayBuffer.drainCached,
        relayedSums: scope => collectRelayedSums(sources, scope),
        relayedLoadChanges: scope => isRelayScope(scope) ? peerLoad.relayedLoadChanges(scope) : () => [],
        onBeacon: receive,
        receiveOther: parts.receiveOther,
        claim: parts.claim,
        onSent: bytes => {
            metrics.count("azureshunt_beacons_total", "Beacons that were sent.");
            metrics.count("azureshunt_beacon_bytes_total", "Bytes of the beacons that were sent.", {}, bytes);
        },
        onFault: (what, err) => {
            metrics.count("azureshunt_beacon_faults_total", "Beacons that failed.", { what });
            logger.debug({ what, err }, "Sending or decoding a beacon failed.");
        },
    });
    return beacons;
}
