import type { EndpointName, Millis, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";
import type { CacheEvent, LoadReport } from "@azureshunt/endpoint";
import { followsItself } from "@azureshunt/endpoint";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { EngineNews } from "./EngineNews.js";
import { packHashes } from "./packHashes.js";
import { unpackHashes } from "./unpackHashes.js";

const KIND = "engineNews";
const BATCH_MS = 20;
const HEARTBEAT_MS = 250;
const TIMEOUT_MS = 500;

/** What is heard of engines that another VM follows. */
type NewsListener = {
    readonly onCacheEvent: (endpoint: EndpointName, event: CacheEvent) => void;
    readonly onLoad: (endpoint: EndpointName, report: LoadReport, askedAt: Millis) => void;
};

/** Shares the news of engines within a failure domain. */
type NewsSharing = {
    /** Whether this VM follows an engine itself now, rather than hear of it from another one. */
    readonly follows: (endpoint: EndpointName) => boolean;
    /** Forwards what this VM saw of an engine that it follows. */
    readonly forwardChange: (endpoint: EndpointName, event: CacheEvent) => void;
    readonly forwardLoad: (endpoint: EndpointName, report: LoadReport, askedAt: Millis) => void;
    readonly stop: () => void;
};

const EMPTY: EngineNews = { following: [], changes: [], loads: [] };

/**
 * Lets one VM of a failure domain follow each engine and forward its news in batches to the others. Events keep their
 * numbers, so a batch that is lost shows as a gap and is mended by a resync with the engine itself.
 *
 * @param engines the engines declared now
 */
export function shareEngineNews(
    ctx: DaemonContext,
    engines: () => readonly EndpointName[],
    listener: NewsListener,
): NewsSharing {
    const { clock, membership, peers } = ctx;
    const self = membership.self.vm;
    const heard = new Map<EndpointName, { readonly vm: VmId; readonly at: Millis; }>();
    let batch = EMPTY;

    const neighbours = (): readonly VmId[] =>
        membership.members()
            .filter(each => each.failureDomain === membership.self.failureDomain && each.vm !== self)
            .map(each => each.vm);
    const orders = new Map<EndpointName, readonly VmId[]>();
    const forgetOrders = membership.subscribe(() => orders.clear());
    const rankIn = (endpoint: EndpointName, vm: VmId): number => {
        const order = orders.get(endpoint) ?? rendezvousOrder(endpoint, [self, ...neighbours()]);
        orders.set(endpoint, order);
        return order.indexOf(vm);
    };

    const follows: NewsSharing["follows"] = endpoint => {
        const news = heard.get(endpoint);
        const from = news === undefined ? -1 : rankIn(endpoint, news.vm);
        const known = news === undefined || from === -1 ? undefined : { rank: from, at: news.at };
        return followsItself(rankIn(endpoint, self), known, clock.now());
    };
    const send = (news: EngineNews): void =>
        neighbours()
            .filter(vm => peers.peers().some(peer => peer.vm === vm))
            .forEach(vm => void peers.exchange(vm, KIND, news, TIMEOUT_MS));
    const flush = (): void => {
        const news = batch;
        batch = EMPTY;
        send(news);
    };
    const add = (more: Partial<EngineNews>): void => {
        if (batch === EMPTY) {
            setTimeout(flush, BATCH_MS);
        }
        batch = {
            following: [],
            changes: [...batch.changes, ...more.changes ?? []],
            loads: [...batch.loads, ...more.loads ?? []],
        };
    };
    const forwardChange: NewsSharing["forwardChange"] = (endpoint, { incarnation, seq, kind, hashes }) =>
        add({ changes: [{ endpoint, incarnation, seq, kind, hashes: packHashes(hashes) }] });
    const forwardLoad: NewsSharing["forwardLoad"] = (endpoint, { measuredAt, ...load }, askedAt) => {
        const now = clock.now();
        const measuredMsAgo = Math.max(0, Math.round(now - measuredAt));
        add({ loads: [{ endpoint, ...load, measuredMsAgo, askedMsAgo: Math.max(0, Math.round(now - askedAt)) }] });
    };
    const beat = (): void => {
        const following = engines().filter(follows);
        if (following.length > 0) {
            send({ ...EMPTY, following });
        }
    };

    const hear = (from: VmId, news: EngineNews): void => {
        const now = clock.now();
        const touched = [...news.following, ...news.changes.map(each => each.endpoint)];
        touched
            .filter(endpoint => {
                const before = heard.get(endpoint);
                return before === undefined || before.vm === from ||
                    rankIn(endpoint, from) <= rankIn(endpoint, before.vm)
                    || now - before.at > HEARTBEAT_MS * 2;
            })
            .forEach(endpoint => heard.set(endpoint, { vm: from, at: now }));
        news.changes.forEach(({ endpoint, hashes, ...event }) =>
            listener.onCacheEvent(endpoint, { ...event, hashes: unpackHashes(hashes) })
        );
        news.loads.forEach(({ endpoint, measuredMsAgo, askedMsAgo, ...load }) =>
            listener.onLoad(endpoint, { ...load, measuredAt: now - measuredMsAgo }, now - askedMsAgo)
        );
    };
    const unregister = peers.handle(KIND, (body, from) => {
        const parsed = EngineNews.safeParse(body);
        if (parsed.success) {
            hear(from, parsed.data);
        }
        return Promise.resolve({});
    });
    const beats = setInterval(beat, HEARTBEAT_MS);
    const stop = (): void => {
        clearInterval(beats);
        forgetOrders();
        unregister();
    };
    return { follows, forwardChange, forwardLoad, stop };
}
