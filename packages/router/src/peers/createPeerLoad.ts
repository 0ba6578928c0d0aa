import type { Clock, EndpointName, FailureDomain, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import type { EndpointShare } from "./EndpointShare.js";
import type { VmRole } from "./VmRole.js";

type LoadUpdate = Pick<Beacon, "vm" | "failureDomain" | "scope" | "load" | "relayedLoad">;
type Rows = Beacon["relayedLoad"];
type RelayScope = "domain" | "fleet";

/** Load of the other VMs' requests at the endpoints, as they or relays sent it last. */
type PeerLoad = {
    readonly applyBeacon: (beacon: LoadUpdate) => void;
    /** Takes a time in which this process did not run, while its clock went on, off the age of what was received. */
    readonly onPaused: (ms: Millis) => void;
    /** Load of all other VMs' requests at an endpoint. */
    readonly at: (endpoint: EndpointName) => EndpointShare;
    /** Whether any VM has reported unread bytes lately. */
    readonly hasUnread: () => boolean;
    /** Number of rows of relayed load that are kept. */
    readonly relayedNames: () => number;
    /** What a relay sends of its peers' load, by target, without what the target itself contributed. */
    readonly relayedLoad: (scope: RelayScope) => (target: VmId | undefined) => Rows;
    /** The rows of `relayedLoad` that have changed since the last call. */
    readonly relayedLoadChanges: (scope: RelayScope) => (target: VmId | undefined) => Rows;
    /** Number of rows that were received. */
    readonly size: () => number;
};

type LoadParts = {
    readonly clock: Clock;
    readonly failureDomain: FailureDomain;
    readonly isRelay: () => boolean;
    readonly roleOf: (vm: VmId) => VmRole;
};

/**
 * Time for which a received load counts. A VM repeats its load in each round; if nothing is received for this time, its
 * requests are taken to have ended.
 */
const LOAD_EXPIRY_MS: Millis = 1_500;

type ReceivedLoad = { readonly load: Rows; readonly receivedAt: Millis; };
/** Last received load by endpoint; the one received longest ago comes first. */
type RelayedLoad = Map<EndpointName, { readonly share: EndpointShare; readonly receivedAt: Millis; }>;

const noLoad: EndpointShare = { running: 0, waitingTokens: 0, memoryTokens: 0 };

const add = (sum: EndpointShare, each: EndpointShare, times: 1 | -1): EndpointShare => {
    const unreadBytes = (sum.unreadBytes ?? 0) + times * (each.unreadBytes ?? 0);
    const added = {
        running: sum.running + times * each.running,
        waitingTokens: sum.waitingTokens + times * each.waitingTokens,
        memoryTokens: sum.memoryTokens + times * each.memoryTokens,
    };
    return unreadBytes > 0 ? { ...added, unreadBytes } : added;
};

// Unread bytes alone are no change: rounds tell them soon enough.
const isSame = (a: EndpointShare, b: EndpointShare | undefined): boolean =>
    a.running === b?.running && a.waitingTokens === b.waitingTokens && a.memoryTokens === b.memoryTokens;

const addRows = (sums: Map<EndpointName, EndpointShare>, rows: Rows, times: 1 | -1): void =>
    rows.forEach(([endpoint, share]) => sums.set(endpoint, add(sums.get(endpoint) ?? noLoad, share, times)));

/**
 * Keeps the sum of the peers' load by endpoint.
 *
 * Every request needs the load of every endpoint. With dozens of VMs and endpoints, scanning all beacons would take
 * thousands of steps per request, so the sums are updated as beacons arrive.
 */
export function createPeerLoad({ clock, failureDomain, isRelay, roleOf }: LoadParts): PeerLoad {
    const sums = new Map<EndpointName, EndpointShare>();
    /** By VM; the one whose load was received longest ago comes first. */
    const received = new Map<VmId, ReceivedLoad>();
    /**
     * Load that relays sent of VMs from which this one receives nothing directly: by failure domain, and of all VMs.
     */
    const relayed = { domains: new Map<FailureDomain, RelayedLoad>(), fleet: new Map() as RelayedLoad };
    /** When a request last ran at an endpoint, so that a relay also sends that nothing runs there any more. */
    const lastBusyAt = { domain: new Map<EndpointName, Millis>(), fleet: new Map<EndpointName, Millis>() };
    /** Load of each endpoint as it was last sent as a change. */
    const lastChanges = {
        domain: new Map<EndpointName, EndpointShare>(),
        fleet: new Map<EndpointName, EndpointShare>(),
    };

    const unread = { reportedAt: -Infinity };
    const noteUnread = (rows: Rows): void => {
        if (rows.some(([, { unreadBytes = 0 }]) => unreadBytes > 0)) {
            unread.reportedAt = clock.now();
        }
    };
    const addLoad = (load: Rows, times: 1 | -1): void => {
        addRows(sums, load, times);
        load.filter(([endpoint]) => sums.get(endpoint)?.running === 0).forEach(([endpoint]) => sums.delete(endpoint));
    };
    const forget = (vm: VmId): void => {
        addLoad(received.get(vm)?.load ?? [], -1);
        received.delete(vm);
    };
    const forgetExpired = (): void => {
        const now = clock.now();
        for (const [vm, { receivedAt }] of received) {
            if (now - receivedAt < LOAD_EXPIRY_MS) {
                return;
            }
            forget(vm);
        }
    };
    /** Endpoints mostly start again with another name, so that those that have gone would fill the memory. */
    const forgetExpiredRows = (known: RelayedLoad, now: Millis): void => {
        for (const [endpoint, row] of known) {
            if (now - row.receivedAt < LOAD_EXPIRY_MS) {
                return;
            }
            known.delete(endpoint);
        }
    };
    const relayedBy = ({ scope, failureDomain: domain }: LoadUpdate): RelayedLoad => {
        if (scope === "fleet") {
            return relayed.fleet;
        }
        const known = relayed.domains.get(domain) ?? new Map();
        relayed.domains.set(domain, known);
        return known;
    };
    const applyBeacon: PeerLoad["applyBeacon"] = update => {
        const { vm, load, relayedLoad } = update;
        const receivedAt = clock.now();
        noteUnread(load ?? []);
        noteUnread(relayedLoad);
        if (load !== undefined && roleOf(vm) !== "indirect") {
            forget(vm);
            received.set(vm, { load, receivedAt });
            addLoad(load, 1);
        }
        if (relayedLoad.length > 0) {
            const known = relayedBy(update);
            relayedLoad.forEach(([endpoint, share]) => {
                known.delete(endpoint);
                known.set(endpoint, { share, receivedAt });
            });
            forgetExpiredRows(known, receivedAt);
        }
    };
    const unexpired = (known: RelayedLoad, endpoint: EndpointName): EndpointShare => {
        const row = known.get(endpoint);
        return row === undefined || clock.now() - row.receivedAt >= LOAD_EXPIRY_MS ? noLoad : row.share;
    };
    const ofRemoteDomains = (): readonly RelayedLoad[] =>
        [...relayed.domains].filter(([domain]) => domain !== failureDomain).map(([, known]) => known);
    const at: PeerLoad["at"] = endpoint => {
        forgetExpired();
        const indirect = isRelay() ? ofRemoteDomains() : [relayed.fleet];
        return indirect.reduce((sum, each) => add(sum, unexpired(each, endpoint), 1), sums.get(endpoint) ?? noLoad);
    };
    const isRelayed = (scope: RelayScope, vm: VmId): boolean => {
        const role = roleOf(vm);
        return role === "leaf" || (scope === "fleet" && role === "remote-relay");
    };
    const totalOf = (scope: RelayScope): Rows => {
        forgetExpired();
        const total = new Map<EndpointName, EndpointShare>();
        [...received].filter(([vm]) => isRelayed(scope, vm)).forEach(([, { load }]) => addRows(total, load, 1));
        (scope === "fleet" ? ofRemoteDomains() : []).forEach(each =>
            addRows(total, [...each.keys()].map(endpoint => [endpoint, unexpired(each, endpoint)] as const), 1)
        );
        const now = clock.now();
        const busy = lastBusyAt[scope];
        [...total].filter(([, { running }]) => running > 0).forEach(([endpoint]) => busy.set(endpoint, now));
        [...busy].filter(([, last]) => now - last > LOAD_EXPIRY_MS).forEach(([endpoint]) => busy.delete(endpoint));
        return [...busy.keys()].map(endpoint => [endpoint, total.get(endpoint) ?? noLoad]);
    };
    const withoutTarget = (scope: RelayScope, rows: Rows) => (target: VmId | undefined): Rows => {
        const own = new Map(target === undefined || !isRelayed(scope, target) ? [] : received.get(target)?.load);
        return own.size === 0
            ? rows
            : rows.map(([endpoint, share]) => [endpoint, add(share, own.get(endpoint) ?? noLoad, -1)] as const);
    };
    const relayedLoad: PeerLoad["relayedLoad"] = scope => withoutTarget(scope, totalOf(scope));
    const relayedLoadChanges: PeerLoad["relayedLoadChanges"] = scope => {
        const last = lastChanges[scope];
        const total = totalOf(scope);
        const rows = total.filter(([endpoint, share]) => !isSame(share, last.get(endpoint)));
        rows.forEach(([endpoint, share]) => last.set(endpoint, share));
        if (last.size > 2 * total.length) {
            const names = new Set(total.map(([endpoint]) => endpoint));
            [...last.keys()].filter(endpoint => !names.has(endpoint)).forEach(endpoint => last.delete(endpoint));
        }
        return withoutTarget(scope, rows);
    };
    const hasUnread = (): boolean => clock.now() - unread.reportedAt < LOAD_EXPIRY_MS;
    const onPaused: PeerLoad["onPaused"] = ms => {
        const later = (at: Millis): Millis => Math.min(clock.now(), at + ms);
        // Values of known keys are replaced, so the order of the VMs stays.
        received.forEach((each, vm) => received.set(vm, { ...each, receivedAt: later(each.receivedAt) }));
        [...relayed.domains.values(), relayed.fleet].forEach(rows =>
            rows.forEach((row, endpoint) => rows.set(endpoint, { ...row, receivedAt: later(row.receivedAt) }))
        );
        unread.reportedAt = later(unread.reportedAt);
    };
    const relayedNames = (): number =>
        [...relayed.domains.values(), relayed.fleet].reduce((sum, { size }) => sum + size, 0);
    const size: PeerLoad["size"] = () =>
        [...received.values()].reduce((sum, { load }) => sum + load.length, relayedNames());
    return { applyBeacon, onPaused, at, hasUnread, relayedNames, relayedLoad, relayedLoadChanges, size };
}
