import { createSocket } from "node:dgram";

import type { EndpointName, OrganisationId } from "@azureshunt/core";
import type { Beacon } from "@azureshunt/router/dist/peers/Beacon.js";
import { beaconInterval } from "@azureshunt/router/dist/peers/beaconInterval.js";
import { createBeaconEncoder } from "@azureshunt/router/dist/peers/createBeaconEncoder.js";
import { decodeBeacon } from "@azureshunt/router/dist/peers/decodeBeacon.js";
import { peerTiming } from "@azureshunt/router/dist/peers/peerTiming.js";

import type { IdleCase } from "./IdleCase.js";
import { peerBeacon } from "./peerBeacon.js";
import type { SimulatedVm } from "./SimulatedVm.js";

type PeerParts = {
    readonly idleCase: IdleCase;
    readonly all: readonly SimulatedVm[];
    /** `host:port` to which the measured VM receives beacons. */
    readonly target: string;
    readonly digest: string;
    readonly engines: readonly EndpointName[];
    readonly organisations: number;
};

/** VMs that send beacons to the measured VM, and the traffic with it. */
type SimulatedPeers = {
    readonly traffic: () => { readonly sent: number; readonly received: number; readonly unreadable: number; };
    readonly stop: () => void;
};

const OWN_DOMAIN = "d0";
/** Fraction of the golden ratio; spreads the sends of many VMs evenly over a round. */
const PHASE_STEP = 0.618;

/**
 * Starts the VMs that send to the VM under test, on sockets of their own, with the fields, the sizes and the intervals of
 * the router's beacons. All other VMs exist only in what these state.
 */
export async function startSimulatedPeers(parts: PeerParts): Promise<SimulatedPeers> {
    const { idleCase: { role }, all } = parts;
    const [host = "", port = ""] = parts.target.split(":");
    const counts = { sent: 0, received: 0, unreadable: 0 };
    const startedAt = performance.now();
    const senders = all.filter(({ failureDomain, isRelay }) =>
        role === "leaf" ? failureDomain === OWN_DOMAIN && isRelay : failureDomain === OWN_DOMAIN || isRelay
    );
    const known = all.filter(({ failureDomain, isRelay }) => failureDomain === OWN_DOMAIN || isRelay).length;
    const intervalMs = beaconInterval(known);
    const scopeOf = (self: SimulatedVm): "vm" | "domain" | "fleet" =>
        role === "leaf" ? "fleet" : self.failureDomain === OWN_DOMAIN ? "vm" : "domain";

    const startPeer = async (self: SimulatedVm, index: number): Promise<() => void> => {
        const socket = createSocket("udp4");
        const [ownHost, ownPort] = self.address.split(":");
        await new Promise<void>((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(Number(ownPort), ownHost, resolve);
        });
        const state = { sequence: 0, round: 0, echoed: undefined as Beacon | undefined, receivedAt: 0 };
        socket.on("message", datagram => {
            counts.received += 1;
            const beacon = decodeBeacon(datagram);
            counts.unreadable += beacon === undefined ? 1 : 0;
            state.echoed = beacon ?? state.echoed;
            state.receivedAt = performance.now();
        });
        const send = (isUrgent: boolean): void => {
            const now = performance.now();
            const scope = scopeOf(self);
            state.sequence += 1;
            state.round += 1;
            const encode = createBeaconEncoder(
                peerBeacon({ ...parts, self, scope, upMs: now - startedAt, round: state.round, isUrgent }),
            );
            const relayedSpent: Beacon["relayedSpent"] = scope === "vm" || isUrgent
                ? []
                : Array.from({ length: parts.organisations }, (_, i) => [`org-${i}` as OrganisationId, 0, 0] as const);
            const { echoed } = state;
            encode({
                sequence: state.sequence,
                sentAt: now,
                echo: echoed && {
                    incarnation: echoed.incarnation,
                    sentAt: echoed.sentAt,
                    heldMs: now - state.receivedAt,
                },
                relayedSpent,
                relayedLoad: [],
                relayedDemand: 0,
            }).forEach(datagram => {
                counts.sent += 1;
                socket.send(datagram, Number(port), host);
            });
        };
        const phase = (index * PHASE_STEP) % 1;
        const timers = new Set<NodeJS.Timeout>();
        const repeat = (everyMs: number, isUrgent: boolean): void => {
            const first = setTimeout(() => {
                timers.add(setInterval(() => send(isUrgent), everyMs));
            }, phase * everyMs);
            timers.add(first);
        };
        repeat(intervalMs, false);
        if (intervalMs > peerTiming.loadIntervalMs) {
            repeat(peerTiming.loadIntervalMs, true);
        }
        return () => {
            timers.forEach(clearInterval);
            socket.close();
        };
    };
    const stops = await Promise.all(senders.map(startPeer));
    return { traffic: () => ({ ...counts }), stop: () => stops.forEach(stop => stop()) };
}
