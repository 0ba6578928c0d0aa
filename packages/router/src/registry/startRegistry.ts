import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { HeapPart } from "../flow/HeapPart.js";
import type { Beacon } from "../peers/Beacon.js";
import type { ReceivedBeacon } from "../peers/ReceivedBeacon.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import type { DirectoryWire } from "../ports/DirectoryWire.js";
import type { StorePort } from "../ports/StorePort.js";
import { createTopicMirror } from "../store/createTopicMirror.js";
import { followTopic } from "../store/followTopic.js";
import type { StoreCallReason } from "../store/StoreCallReason.js";
import type { TopicAnswer } from "../store/TopicAnswer.js";
import type { EndpointEntry } from "./EndpointEntry.js";
import { initialRegistryFreshness } from "./initialRegistryFreshness.js";
import { isSameEntry } from "./isSameEntry.js";
import { registryDueIn } from "./registryDueIn.js";
import type { RegistryFreshnessEvent } from "./RegistryFreshnessEvent.js";
import { stepRegistryFreshness } from "./stepRegistryFreshness.js";

type RegistryParts = {
    readonly clock: Clock;
    /** The store, as called for a reason. */
    readonly storeFor: (reason: StoreCallReason) => StorePort;
    readonly wire: DirectoryWire;
    readonly endpointTable: EndpointTable;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** How long a leaving endpoint still takes requests. */
    readonly leavingMs: () => Millis;
    /** Whether this VM reads the registry for the others. */
    readonly isReader: () => boolean;
    /** Reads a topic from a relay; see `followTopic`. */
    readonly queryRelay: (
        topic: string,
        from: number | undefined,
        isReadWanted: boolean,
    ) => Promise<TopicAnswer | undefined>;
    /** Whether the first read still has to wait, as a relay may become available that answers it. */
    readonly mustWaitForRelay: () => boolean;
    /** Checks for a suspension of the process, before an answer is accepted as fresh or sent. */
    readonly checkSuspension: () => void;
    /** Called when this VM has read the registry from the store itself. */
    readonly onStoreRead: () => void;
    /** Called with all entries of a read, also those that a later record of the same read removes. */
    readonly onEntries: (entries: readonly EndpointEntry[]) => void;
};

type RegistryKeeper = {
    /** Upper bound for the age of the known entries; `Infinity` if none is known. */
    readonly ageMs: () => Millis;
    /** Whether a peer has read other entries than this VM. */
    readonly isContradicted: () => boolean;
    /** Digest and maximum age of the known entries, to be sent to the peers; undefined until one is known. */
    readonly beaconFields: () => Beacon["registry"];
    /** Compares a peer's digest with this VM's own entries. */
    readonly applyBeacon: (received: ReceivedBeacon) => void;
    /**
     * Returns the records that a relay sends to a peer on request; undefined if its view is not fresh.
     *
     * @param isReadWanted whether the peer needs what the store states now, beyond what digests confirm
     */
    readonly answer: (from: number | undefined, isReadWanted?: boolean) => TopicAnswer | undefined;
    /** The records that are kept for other VMs. */
    readonly held: () => HeapPart;
    /** Discards the freshness of the view, as the process was suspended. */
    readonly onSuspended: () => void;
    readonly stop: () => void;
};

type Decoded = ReturnType<DirectoryWire["decodeEntry"]>;

const TICK_MS = 500;
/** Age up to which a relay answers, as a fraction of the time for which a leaving endpoint still takes requests. */
const MAX_ANSWER_AGE_FRACTION = 0.35;

/** Follows the endpoints' entries in the store and applies them to the endpoint table. */
export function startRegistry(parts: RegistryParts): RegistryKeeper {
    const { clock, wire, endpointTable, logger, metrics } = parts;
    const state = {
        freshness: initialRegistryFreshness,
        /** Whether a peer needs the versions that the store states now, and this VM has not read it lately. */
        isReadWanted: false,
    };
    const areVersionsInDoubt = (): boolean => state.isReadWanted || endpointTable.areVersionsInDoubt();
    const apply = (event: RegistryFreshnessEvent): void => {
        state.freshness = stepRegistryFreshness(state.freshness, event);
    };

    /** What a record says; each is decoded once, though it is compared with those before and after it. */
    const decoded = new WeakMap<Buffer, Decoded>();
    /** The newest record of each key that was decoded: heartbeats repeat it several times a second. */
    const newest = new Map<string, { readonly value: Buffer; readonly result: Decoded; }>();
    const decodeOnce = (key: string, value: Buffer): Decoded => {
        const known = decoded.get(value);
        if (known !== undefined) {
            return known;
        }
        const before = newest.get(key);
        const result = before !== undefined && wire.isRepeatedEntry(before.value, value)
            ? before.result
            : wire.decodeEntry(key, value);
        decoded.set(value, result);
        newest.set(key, { value, result });
        return result;
    };
    const forget = (key: string): undefined => {
        newest.delete(key);
    };
    /** An entry that cannot be decoded is counted, logged and treated as absent. */
    const decode = (key: string, value: Buffer | undefined): EndpointEntry | undefined =>
        value === undefined ? forget(key) : decodeOnce(key, value).caseOf({
            Left: fault => {
                metrics.count("azureshunt_unreadable_total", "Records that could not be read.", { what: "entry" });
                logger.warn({ key, fault }, "Decoding an endpoint's registry entry failed.");
                return undefined;
            },
            Right: entry => entry,
        });

    /** Endpoints rewrite their entries as heartbeats; only a change of the decoded entry counts. */
    const isSame = (key: string, before: Buffer, now: Buffer): boolean => {
        const [known, repeated] = [decodeOnce(key, before), decodeOnce(key, now)];
        return known === repeated || known.caseOf({
            Left: fault => repeated.isLeft() && repeated.extract() === fault,
            Right: entry => repeated.map(now => isSameEntry(entry, now)).orDefault(false),
        });
    };
    const mirror = createTopicMirror(isSame);

    const followed = followTopic({
        storeFor: parts.storeFor,
        clock: parts.clock,
        topic: wire.registryTopic,
        waitMs: () => 0,
        queryRelay: from => parts.queryRelay(wire.registryTopic, from, endpointTable.areVersionsInDoubt()),
        mustWaitForRelay: parts.mustWaitForRelay,
        dueInMs: () =>
            registryDueIn(
                {
                    freshness: state.freshness,
                    isReader: parts.isReader(),
                    areVersionsInDoubt: areVersionsInDoubt(),
                    leavingMs: parts.leavingMs(),
                },
                clock.now(),
            ),
        reasonOfRead: () => {
            if (parts.isReader()) {
                return "reader";
            }
            return state.freshness.isContradicted ? "changed" : areVersionsInDoubt() ? "versions" : "follower";
        },
        // Records in between may name versions at which streams have begun.
        catchUp: "all",
        onRestart: () => {
            logger.warn("The registry's topic has begun anew.");
            mirror.restart();
            endpointTable.applyRegistryEvent({ kind: "restarted" });
        },
        onRead: ({ records, readTo, isWhole, asOf, readAsOf = -Infinity, requestedAt, isRelayed }) => {
            parts.checkSuspension();
            mirror.record({ records, readTo, isWhole });
            const changes = records.map(({ key, value }) => ({ name: key as EndpointName, entry: decode(key, value) }));
            const entries = changes.flatMap(({ entry }) => entry === undefined ? [] : [entry]);
            endpointTable.applyRegistryEvent(
                isWhole ? { kind: "whole", entries, readAsOf } : { kind: "changes", changes, readAsOf },
            );
            parts.onEntries(entries);
            if (asOf === undefined) {
                return;
            }
            apply({ kind: "read", requestedAt, asOf });
            if (!isRelayed) {
                state.isReadWanted = false;
                parts.onStoreRead();
            }
        },
        onFailure: kind => {
            metrics.count("azureshunt_store_failures_total", "Calls to the store that failed.", {
                topic: "registry",
                kind,
            });
        },
    });
    const timer = setInterval(() => endpointTable.applyRegistryEvent({ kind: "tick" }), TICK_MS);
    const ageMs = (): Millis => clock.now() - state.freshness.asOf;
    return {
        ageMs,
        isContradicted: () => state.freshness.isContradicted,
        beaconFields: () =>
            state.freshness.asOf === -Infinity
                ? undefined
                : { digest: endpointTable.registryDigest(), ageMs: ageMs() },
        applyBeacon: ({ beacon, sentAfter, stampedAt }) => {
            if (beacon.registry === undefined) {
                return;
            }
            const asOf = sentAfter - beacon.registry.ageMs;
            const isSame = beacon.registry.digest === endpointTable.registryDigest();
            const before = state.freshness;
            apply({ kind: "received", isSame, asOf, stampedAt });
            if (isSame && state.freshness !== before) {
                endpointTable.applyRegistryEvent({ kind: "vouched", asOf });
            }
        },
        answer: (from, isReadWanted = false) => {
            parts.checkSuspension();
            const maxAgeMs = MAX_ANSWER_AGE_FRACTION * parts.leavingMs();
            state.isReadWanted ||= isReadWanted && endpointTable.versionsAgeMs() > maxAgeMs;
            const isFresh = !state.freshness.isContradicted && ageMs() < maxAgeMs;
            const page = isFresh ? mirror.answer(from) : undefined;
            return page === undefined
                ? undefined
                : { ...page, ageMs: ageMs(), readAgeMs: endpointTable.versionsAgeMs() };
        },
        held: mirror.held,
        onSuspended: () => apply({ kind: "suspended", now: clock.now() }),
        stop: () => {
            followed.stop();
            clearInterval(timer);
        },
    };
}
