import type { EndpointName, Millis, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";
import type { CacheEvent, LoadReport } from "@azureshunt/endpoint";
import { followsEngineDirectly } from "@azureshunt/endpoint";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { EngineNews } from "./EngineNews.js";
import { packHashes } from "./packHashes.js";
import { unpackHashes } from "./unpackHashes.js";

const KIND = "engineNews";
const BATCH_MS = 20;
const HEARTBEAT_MS = 250;
const TIMEOUT_MS = 500;

/** Callbacks for updates of engines that another VM follows. */
type EngineUpdateListener = {
    readonly onCacheEvent: (endpoint: EndpointName, event: CacheEvent) => void;
    readonly onLoad: (endpoint: EndpointName, report: LoadReport, requestedAt: Millis) => void;
};

/** Shares updates of engines within a failure domain. */
type EngineUpdateSharing = {
    /** Whether this VM follows an engine itself now, instead of receiving its updates from another VM. */
    readonly follows: (endpoint: EndpointName) => boolean;
    /** Sends an event or a load report of an engine that this VM follows. */
    readonly sendChange: (endpoint: EndpointName, event: CacheEvent) => void;
    readonly sendLoad: (endpoint: EndpointName, report: LoadReport, requestedAt: Millis) => void;
    readonly stop: () => void;
};

const NO_UPDATES: EngineNews = { following: [], changes: [], loads: [] };

/**
 * Lets one VM of a failure domain follow each engine and send its updates in batches to the other VMs. Events keep
 * their sequence numbers, so a lost batch shows as a gap, which a resync with the engine itself repairs.
 *
 * @param engines returns the engines that are declared now
 */
export function shareEngineUpdates(
    ctx: DaemonContext,
    engines: () => readonly EndpointName[],
    listener: EngineUpdateListener,
): EngineUpdateSharing {
    const { clock, membership, peers } = ctx;
    const self = membership.self.vm;
    const lastReceived = new Map<EndpointName, { readonly vm: VmId; readonly at: Millis; }>();
    let batch = NO_UPDATES;

    const domainPeers = (): readonly VmId[] =>
        membership.members()
            .filter(each => each.failureDomain === membership.self.failureDomain && each.vm !== self)
            .map(each => each.vm);
    const rankings = new Map<EndpointName, readonly VmId[]>();
    const unsubscribe = membership.subscribe(() => rankings.clear());
    const rankOf = (endpoint: EndpointName, vm: VmId): number => {
        const ranking = rankings.get(endpoint) ?? rendezvousOrder(endpoint, [self, ...domainPeers()]);
        rankings.set(endpoint, ranking);
        return ranking.indexOf(vm);
    };

    const follows: EngineUpdateSharing["follows"] = endpoint => {
        const received = lastReceived.get(endpoint);
        const receivedRank = received === undefined ? -1 : rankOf(endpoint, received.vm);
        const update = received === undefined || receivedRank === -1
            ? undefined
            : { rank: receivedRank, at: received.at };
        return followsEngineDirectly(rankOf(endpoint, self), update, clock.now());
    };
    const send = (updates: EngineNews): void =>
        domainPeers()
            .filter(vm => peers.peers().some(peer => peer.vm === vm))
            .forEach(vm => void peers.exchange(vm, KIND, updates, TIMEOUT_MS));
    const flush = (): void => {
        const updates = batch;
        batch = NO_UPDATES;
        send(updates);
    };
    const add = (more: Partial<EngineNews>): void => {
        if (batch === NO_UPDATES) {
            setTimeout(flush, BATCH_MS);
        }
        batch = {
            following: [],
            changes: [...batch.changes, ...more.changes ?? []],
            loads: [...batch.loads, ...more.loads ?? []],
        };
    };
    const sendChange: EngineUpdateSharing["sendChange"] = (endpoint, { incarnation, seq, kind, hashes }) =>
        add({ changes: [{ endpoint, incarnation, seq, kind, hashes: packHashes(hashes) }] });
    const sendLoad: EngineUpdateSharing["sendLoad"] = (endpoint, { measuredAt, ...load }, requestedAt) => {
        const now = clock.now();
        const measuredMsAgo = Math.max(0, Math.round(now - measuredAt));
        add({ loads: [{ endpoint, ...load, measuredMsAgo, askedMsAgo: Math.max(0, Math.round(now - requestedAt)) }] });
    };
    const sendHeartbeat = (): void => {
        const following = engines().filter(follows);
        if (following.length > 0) {
            send({ ...NO_UPDATES, following });
        }
    };

    const applyUpdates = (from: VmId, updates: EngineNews): void => {
        const now = clock.now();
        const named = [...updates.following, ...updates.changes.map(each => each.endpoint)];
        named
            .filter(endpoint => {
                const previous = lastReceived.get(endpoint);
                return previous === undefined || previous.vm === from ||
                    rankOf(endpoint, from) <= rankOf(endpoint, previous.vm)
                    || now - previous.at > HEARTBEAT_MS * 2;
            })
            .forEach(endpoint => lastReceived.set(endpoint, { vm: from, at: now }));
        updates.changes.forEach(({ endpoint, hashes, ...event }) =>
            listener.onCacheEvent(endpoint, { ...event, hashes: unpackHashes(hashes) })
        );
        updates.loads.forEach(({ endpoint, measuredMsAgo, askedMsAgo, ...load }) =>
            listener.onLoad(endpoint, { ...load, measuredAt: now - measuredMsAgo }, now - askedMsAgo)
        );
    };
    const unregister = peers.handle(KIND, (body, from) => {
        const parsed = EngineNews.safeParse(body);
        if (parsed.success) {
            applyUpdates(from, parsed.data);
        }
        return Promise.resolve({});
    });
    const heartbeats = setInterval(sendHeartbeat, HEARTBEAT_MS);
    const stop = (): void => {
        clearInterval(heartbeats);
        unsubscribe();
        unregister();
    };
    return { follows, sendChange, sendLoad, stop };
}
