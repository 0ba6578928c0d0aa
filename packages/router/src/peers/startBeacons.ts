import { createSocket } from "node:dgram";

import type { Clock, Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import { beaconInterval } from "./beaconInterval.js";
import type { BeaconTarget } from "./BeaconTarget.js";
import { beaconTargets } from "./beaconTargets.js";
import { createBeaconEncoder } from "./createBeaconEncoder.js";
import { createBeaconPacer } from "./createBeaconPacer.js";
import { decodeBeacon } from "./decodeBeacon.js";
import type { Members } from "./Members.js";
import type { News } from "./News.js";
import { ringOrder } from "./ringOrder.js";

type BeaconParts = {
    readonly clock: Clock;
    /** `host:port` on which beacons are received, and from which they are sent. */
    readonly address: string;
    readonly self: Pick<Beacon, "vm" | "incarnation" | "failureDomain">;
    readonly members: () => Members;
    readonly news: () => Omit<News, "cached">;
    /** What was read or saved since the last call. */
    readonly takeCached: () => News["cached"];
    readonly onBeacon: (beacon: Beacon, address: string) => void;
    /** A beacon of so many bytes was sent. */
    readonly onSent: (bytes: number) => void;
    readonly onFault: (what: "unreadable" | "socket", err: Error | undefined) => void;
};

/** Members named in one beacon at most, so that a datagram stays small in a large fleet. */
const NAMED_MEMBERS = 8;

type Encode = ReturnType<typeof createBeaconEncoder>;
type Stamp = { readonly incarnation: Incarnation; readonly sentAt: Millis; readonly at: Millis; };

/**
 * Sends beacons to the other VMs and takes theirs. Datagrams need no connection that could fall silent, and a lost one
 * is made up for by the next.
 *
 * @returns functions that tell all soon, and that stop after a last word to all
 */
export function startBeacons(parts: BeaconParts): { readonly sendNow: () => void; readonly stop: () => void; } {
    const { clock, self, members } = parts;
    const socket = createSocket("udp4");
    const stamps = new Map<VmId, Stamp>();
    const count = { round: 0, sequence: 0 };
    /** What all beacons of a round have in common. */
    const round = { named: [] as Beacon["members"], cached: [] as News["cached"] };
    const startedAt = clock.now();
    const [host, port] = parts.address.split(":");

    const encoderOf = (news: News, isLeaving: boolean): Encode =>
        createBeaconEncoder({
            ...self,
            ...news,
            upMs: clock.now() - startedAt,
            members: round.named,
            isLeaving,
        });

    const send = ({ address, vm }: BeaconTarget, encode: Encode): void => {
        const now = clock.now();
        const stamp = vm === undefined ? undefined : stamps.get(vm);
        const echo = stamp === undefined
            ? undefined
            : { incarnation: stamp.incarnation, sentAt: stamp.sentAt, heldMs: now - stamp.at };
        count.sequence += 1;
        const datagram = encode({ sequence: count.sequence, sentAt: now, echo });
        const [to, toPort] = address.split(":");
        parts.onSent(datagram.length);
        socket.send(datagram, Number(toPort), to, err => {
            if (err !== null) {
                parts.onFault("socket", err);
            }
        });
    };
    const targets = (): readonly BeaconTarget[] => {
        const known = [...members().known.values()].filter(({ heard }) => heard !== undefined);
        const offset = known.length === 0 ? 0 : count.round % known.length;
        round.named = [...known.slice(offset), ...known.slice(0, offset)].slice(0, NAMED_MEMBERS)
            .map(({ vm, address }) => [vm, address] as const);
        count.round += 1;
        return ringOrder(self.vm, beaconTargets(members(), count.round - 1, clock.now()));
    };
    const tell = (batch: readonly BeaconTarget[]): void => {
        // What ages is gathered for each batch, so that nothing passes for newer than it is.
        const encode = encoderOf({ ...parts.news(), cached: round.cached }, false);
        batch.forEach(target => send(target, encode));
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

    const pacer = { current: undefined as ReturnType<typeof createBeaconPacer<BeaconTarget>> | undefined };
    socket.once("listening", () => {
        pacer.current = createBeaconPacer<BeaconTarget>({
            clock,
            later: (delayMs, run) => {
                const timer = setTimeout(run, delayMs);
                return () => clearTimeout(timer);
            },
            targets,
            onRound: isCut => {
                round.cached = [...isCut ? round.cached : [], ...parts.takeCached()];
            },
            tell,
            intervalMs: () => beaconInterval(members().known.size),
        });
    });

    const stop = (): void => {
        pacer.current?.stop();
        const encode = encoderOf({ ...parts.news(), cached: [] }, true);
        targets().forEach(target => send(target, encode));
        // The last datagrams are handed to the system at once; closing right away would drop them.
        setTimeout(() => socket.close(), 20);
    };
    return { sendNow: () => pacer.current?.hurry(), stop };
}
