import { createSocket } from "node:dgram";

import type { Clock, Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import { beaconInterval } from "./beaconInterval.js";
import { beaconTargets } from "./beaconTargets.js";
import { decodeBeacon } from "./decodeBeacon.js";
import { encodeBeacon } from "./encodeBeacon.js";
import type { Members } from "./Members.js";
import type { News } from "./News.js";

type BeaconParts = {
    readonly clock: Clock;
    /** `host:port` on which beacons are received, and from which they are sent. */
    readonly address: string;
    readonly self: Pick<Beacon, "vm" | "incarnation" | "failureDomain">;
    readonly members: () => Members;
    readonly news: () => News;
    readonly onBeacon: (beacon: Beacon, address: string) => void;
    /** A beacon of so many bytes was sent. */
    readonly onSent: (bytes: number) => void;
    readonly onFault: (what: "unreadable" | "socket", err: Error | undefined) => void;
};

/** Members named in one beacon at most, so that a datagram stays small in a large fleet. */
const NAMED_MEMBERS = 8;

type Stamp = { readonly incarnation: Incarnation; readonly sentAt: Millis; readonly at: Millis; };

/**
 * Sends beacons to the other VMs and takes theirs. Datagrams need no connection that could fall silent, and a lost one
 * is made up for by the next.
 *
 * @returns functions that tell at once, and that stop after a last word to all
 */
export function startBeacons(parts: BeaconParts): { readonly sendNow: () => void; readonly stop: () => void; } {
    const { clock, self, members } = parts;
    const socket = createSocket("udp4");
    const stamps = new Map<VmId, Stamp>();
    const count = { round: 0, sequence: 0 };
    const startedAt = clock.now();
    const [host, port] = parts.address.split(":");

    const send = (isLeaving: boolean): void => {
        const now = clock.now();
        const news = parts.news();
        const known = [...members().known.values()].filter(({ heard }) => heard !== undefined);
        const offset = known.length === 0 ? 0 : count.round % known.length;
        const named = [...known.slice(offset), ...known.slice(0, offset)].slice(0, NAMED_MEMBERS)
            .map(({ vm, address }) => [vm, address] as const);
        beaconTargets(members(), count.round, now).forEach(({ address, vm }) => {
            const stamp = vm === undefined ? undefined : stamps.get(vm);
            const echo = stamp === undefined
                ? undefined
                : { incarnation: stamp.incarnation, sentAt: stamp.sentAt, heldMs: now - stamp.at };
            count.sequence += 1;
            const beacon = {
                ...self,
                ...news,
                sequence: count.sequence,
                sentAt: now,
                upMs: now - startedAt,
                echo,
                members: named,
                isLeaving,
            };
            const [to, toPort] = address.split(":");
            const datagram = encodeBeacon(beacon);
            parts.onSent(datagram.length);
            socket.send(datagram, Number(toPort), to, err => {
                if (err !== null) {
                    parts.onFault("socket", err);
                }
            });
        });
        count.round += 1;
    };

    socket.on("error", err => parts.onFault("socket", err));
    socket.on("message", (datagram, from) => {
        const beacon = decodeBeacon(datagram);
        if (beacon === undefined) {
            parts.onFault("unreadable", undefined);
            return;
        }
        stamps.set(beacon.vm, { incarnation: beacon.incarnation, sentAt: beacon.sentAt, at: clock.now() });
        parts.onBeacon(beacon, `${from.address}:${from.port}`);
    });
    socket.bind(Number(port), host);

    const timer = { current: undefined as NodeJS.Timeout | undefined };
    const loop = (): void => {
        send(false);
        timer.current = setTimeout(loop, beaconInterval(members().known.size));
    };
    socket.once("listening", loop);

    const stop = (): void => {
        clearTimeout(timer.current);
        send(true);
        // The last datagrams are handed to the system at once; closing right away would drop them.
        setTimeout(() => socket.close(), 20);
    };
    return { sendNow: () => send(false), stop };
}
