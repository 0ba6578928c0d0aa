import type { Clock, Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import type { BeaconScope } from "./BeaconScope.js";
import type { BeaconTarget } from "./BeaconTarget.js";
import { createBeaconEncoder } from "./createBeaconEncoder.js";
import { createBeaconPacer } from "./createBeaconPacer.js";
import { createUrgentSender } from "./createUrgentSender.js";
import { decodeBeacon } from "./decodeBeacon.js";
import type { LocalState } from "./LocalState.js";
import { peerTiming } from "./peerTiming.js";
import type { RelayedRows } from "./RelayedRows.js";
import type { RelayedSums } from "./RelayedSums.js";
import { ringOrder } from "./ringOrder.js";

type ExchangeParts = {
    readonly clock: Clock;
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    readonly self: Pick<Beacon, "vm" | "incarnation" | "failureDomain" | "capacity">;
    /** Who gets a beacon in a round, and whose state it contains. */
    readonly targets: (round: number) => readonly BeaconTarget[];
    /** Who gets urgent state between rounds. */
    readonly usualTargets: () => readonly BeaconTarget[];
    readonly intervalMs: () => Millis;
    /** Returns what a beacon contains about other VMs. */
    readonly memberFields: (scope: BeaconScope) => Pick<Beacon, "vms" | "domains">;
    readonly localState: () => LocalState;
    /** Orders that engines execute now. */
    readonly ordered: (scope: BeaconScope) => RelayedRows["ordered"];
    /** Returns the prompt parts that were prefilled or stored since the last call. */
    readonly drainCached: () => RelayedRows["cached"];
    /** As `drainCached`, for the VMs whose state is relayed. */
    readonly drainRelayed: (scope: "domain" | "fleet") => RelayedRows["cached"];
    readonly relayedSums: (scope: BeaconScope) => (target: VmId | undefined) => RelayedSums;
    /** Returns the relayed load of the endpoints where it has changed since the last call. */
    readonly relayedLoadChanges: (scope: BeaconScope) => (target: VmId | undefined) => RelayedSums["relayedLoad"];
    readonly onBeacon: (beacon: Beacon, address: string) => void;
    readonly send: (datagram: Buffer, address: string) => void;
    readonly onUnreadable: () => void;
};

/** Sends beacons to other VMs, and receives theirs. */
type BeaconExchange = {
    readonly receive: (datagram: Buffer, address: string) => void;
    /** Sends urgent state before the next round; rate-limited. */
    readonly sendSoon: () => void;
    /** Stops after a final beacon to all targets of a round. */
    readonly stop: () => void;
};

type Stamp = { readonly incarnation: Incarnation; readonly sentAt: Millis; readonly receivedAt: Millis; };
type Cached = RelayedRows["cached"];
type CachedByScope = Readonly<Record<"own" | "domain" | "fleet", Cached>>;
type Encoding = {
    readonly encode: ReturnType<typeof createBeaconEncoder>;
    readonly sumsFor: (target: VmId | undefined) => RelayedSums;
};

const noCached: CachedByScope = { own: [], domain: [], fleet: [] };

const loadSums =
    (load: (target: VmId | undefined) => RelayedSums["relayedLoad"]) => (target: VmId | undefined): RelayedSums => ({
        relayedSpent: [],
        relayedLoad: load(target),
        relayedDemand: 0,
    });

/** Starts to send beacons to other VMs, and passes those that are received to `onBeacon`. */
export function createBeaconExchange(parts: ExchangeParts): BeaconExchange {
    const { clock, self } = parts;
    const stamps = new Map<VmId, Stamp>();
    const counters = { round: 0, sequence: 0 };
    /** Prompt parts that are sent in the current round. */
    const roundCached = { current: noCached };
    const startedAt = clock.now();

    const drainAll = (): CachedByScope => ({
        own: parts.drainCached(),
        domain: parts.drainRelayed("domain"),
        fleet: parts.drainRelayed("fleet"),
    });
    const cachedFor = (cached: CachedByScope, scope: BeaconScope): Cached =>
        scope === "domain" || scope === "fleet" ? [...cached.own, ...cached[scope]] : cached.own;
    /** Encodes urgent state: revisions, weights, orders, crashes, load, cached parts, and the ages of what is confirmed. */
    const urgentEncoding = (scope: BeaconScope, localState: LocalState, cached: CachedByScope): Encoding => ({
        encode: createBeaconEncoder({
            ...self,
            ...localState,
            spent: [],
            vms: [],
            domains: [],
            scope,
            ordered: parts.ordered(scope),
            cached: cachedFor(cached, scope),
            upMs: clock.now() - startedAt,
            isLeaving: false,
        }),
        sumsFor: loadSums(parts.relayedLoadChanges(scope)),
    });
    const fullEncoding = (scope: BeaconScope, localState: LocalState, isLeaving: boolean): Encoding => ({
        encode: createBeaconEncoder({
            ...self,
            ...localState,
            ...parts.memberFields(scope),
            scope,
            ordered: parts.ordered(scope),
            cached: cachedFor(roundCached.current, scope),
            upMs: clock.now() - startedAt,
            isLeaving,
        }),
        sumsFor: parts.relayedSums(scope),
    });
    const sendTo = ({ address, vm }: BeaconTarget, { encode, sumsFor }: Encoding, collectedAt: Millis): void => {
        const stamp = vm === undefined ? undefined : stamps.get(vm);
        const echo = stamp === undefined
            ? undefined
            : { incarnation: stamp.incarnation, sentAt: stamp.sentAt, heldMs: collectedAt - stamp.receivedAt };
        counters.sequence += 1;
        encode({ sequence: counters.sequence, sentAt: collectedAt, echo, ...sumsFor(vm) })
            .forEach(datagram => parts.send(datagram, address));
    };
    /**
     * Sends a batch, dated before the state in it is collected. If the process does not run for a moment in between, ages
     * that were computed before would seem to be of the time after it, and a withdrawn key would be confirmed.
     */
    const sendEach = (
        batch: readonly BeaconTarget[],
        encodingsOf: () => (scope: BeaconScope) => Encoding,
    ): void => {
        const collectedAt = clock.now();
        const encodingFor = encodingsOf();
        const encodings = new Map<BeaconScope, Encoding>();
        batch.forEach(target => {
            const encoding = encodings.get(target.scope) ?? encodingFor(target.scope);
            encodings.set(target.scope, encoding);
            sendTo(target, encoding, collectedAt);
        });
    };
    const sendFull = (batch: readonly BeaconTarget[], isLeaving = false): void =>
        // Collected again for each batch, so that no age in it is too low.
        sendEach(batch, () => {
            const localState = parts.localState();
            return scope => fullEncoding(scope, localState, isLeaving);
        });
    const urgentSender = createUrgentSender({
        clock,
        schedule: parts.schedule,
        maxGapMs: () => parts.intervalMs() > peerTiming.loadIntervalMs ? peerTiming.loadIntervalMs : undefined,
        send: () => {
            const targets = parts.usualTargets();
            sendEach(targets, () => {
                const localState = parts.localState();
                const cached = drainAll();
                return scope => urgentEncoding(scope, localState, cached);
            });
            return targets.length;
        },
    });
    const targets = (): readonly BeaconTarget[] => {
        counters.round += 1;
        return ringOrder(self.vm, parts.targets(counters.round - 1));
    };
    const pacer = createBeaconPacer<BeaconTarget>({
        clock,
        schedule: parts.schedule,
        targets,
        onRound: () => {
            roundCached.current = drainAll();
        },
        send: batch => sendFull(batch),
        intervalMs: parts.intervalMs,
    });

    const receive: BeaconExchange["receive"] = (datagram, address) => {
        const beacon = decodeBeacon(datagram);
        if (beacon === undefined) {
            parts.onUnreadable();
            return;
        }
        stamps.set(beacon.vm, { incarnation: beacon.incarnation, sentAt: beacon.sentAt, receivedAt: clock.now() });
        parts.onBeacon(beacon, address);
    };
    const stop = (): void => {
        pacer.stop();
        urgentSender.stop();
        sendFull(targets(), true);
    };
    return { receive, sendSoon: urgentSender.sendSoon, stop };
}
