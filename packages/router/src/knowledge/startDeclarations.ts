import type { Clock, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import { getBody } from "../dispatch/getBody.js";
import type { HeapPart } from "../flow/HeapPart.js";
import type { ReaderScope } from "../peers/ReaderScope.js";
import type { ReceivedBeacon } from "../peers/ReceivedBeacon.js";
import type { DirectoryWire } from "../ports/DirectoryWire.js";
import type { StorePort } from "../ports/StorePort.js";
import type { VersionRollout } from "../rollout/VersionRollout.js";
import { createTopicMirror } from "../store/createTopicMirror.js";
import { followTopic } from "../store/followTopic.js";
import type { StoreCallReason } from "../store/StoreCallReason.js";
import type { TopicAnswer } from "../store/TopicAnswer.js";
import { createDeclarationDecoder } from "./createDeclarationDecoder.js";
import { createDeclarationLog } from "./createDeclarationLog.js";
import type { DeclarationEvent } from "./DeclarationEvent.js";
import { declarationsDueIn } from "./declarationsDueIn.js";
import type { DeclaredState } from "./DeclaredState.js";
import { initialDeclaredState } from "./initialDeclaredState.js";
import { readerWaitMs } from "./readerWaitMs.js";
import type { ReadOrigin } from "./ReadOrigin.js";
import { readTiming } from "./readTiming.js";
import { stepDeclaredState } from "./stepDeclaredState.js";
import type { TargetRow } from "./TargetRow.js";

type WeightsEvent = Extract<DeclarationEvent, { readonly kind: "weights"; }>;

type DeclarationParts = {
    readonly clock: Clock;
    /** The store, as called for a reason. */
    readonly storeFor: (reason: StoreCallReason) => StorePort;
    readonly wire: DirectoryWire;
    readonly agent: EndpointAgent;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Called when this VM learned something that the other VMs should receive soon. */
    readonly onChange: () => void;
    /** Called when the configuration in force has been confirmed as the newest one of a later time. */
    readonly onConfirmed?: () => void;
    /** Called when this VM has read the store for all VMs, so that they receive the confirmation soon. */
    readonly onFleetRead: () => void;
    /** Called with each order of a rollout that was read; the same one may be read several times. */
    readonly onRollout: (order: VersionRollout) => void;
    /** For which VMs this VM reads the declarations. */
    readonly readerScope: () => ReaderScope;
    /** Whether VMs of other failure domains rely on the reads of the reader of all VMs. */
    readonly isForDomains: () => boolean;
    /** Time between two beacons to one VM. */
    readonly beaconIntervalMs: () => Millis;
    /** Time in which a change must be in force. */
    readonly configurationMs: () => Millis;
    /** Queries a relay for a topic; see `followTopic`. */
    readonly queryRelay: (topic: string, from: number | undefined) => Promise<TopicAnswer | undefined>;
    readonly mustWaitForRelay: () => boolean;
    /** Checks whether the process was suspended, before an answer counts as fresh. */
    readonly checkSuspension: () => void;
};

/** The operators' declarations, as this VM knows them. */
type Declarations = {
    readonly current: () => DeclaredState;
    /** The configuration as read, undecoded; `undefined` until there is one. */
    readonly raw: () => Buffer | undefined;
    readonly hasStore: () => boolean;
    /**
     * Returns what this VM, as a relay, answers to a query for the declarations; `undefined` if it has nothing fresh.
     */
    readonly answer: (from: number | undefined) => TopicAnswer | undefined;
    /** @param address peer address of the beacon's sender */
    readonly applyBeacon: (received: ReceivedBeacon, address: string) => void;
    /**
     * Applies target weights that another process knew.
     *
     * @param at latest time at which their ages applied
     */
    readonly learnTargets: (targets: readonly TargetRow[], at: Millis) => void;
    /** The records that are kept for other VMs. */
    readonly held: () => HeapPart;
    readonly onSuspended: () => void;
    readonly stop: () => void;
};

const FETCH_TIMEOUT_MS = 1_000;
/**
 * Maximum age of the store's last answer while it counts as available: the longest wait of a read plus a slow answer.
 */
const STORE_AVAILABLE_MS: Millis = 3_300;
/** In place of the offset of a record that was not read from the topic. */
const NO_OFFSET = -1;

/** Follows the operators' declarations in the store and through the other VMs. */
export function startDeclarations(parts: DeclarationParts): Declarations {
    const { clock, wire, logger, metrics } = parts;
    const log = createDeclarationLog(logger, clock);
    const decoder = createDeclarationDecoder(parts);
    const mirror = createTopicMirror((_, before, now) => before.equals(now));
    const state = {
        declaredState: initialDeclaredState,
        raw: undefined as Buffer | undefined,
        /** The newest revision read from the topic, as opposed to fetched from another VM. */
        readRevision: -1,
        storeAt: -Infinity,
        /** When the last answered read was sent. */
        requestedAt: -Infinity,
        isFetching: false,
        isReadFailing: false,
    };

    const apply = (event: DeclarationEvent, origin?: ReadOrigin): void => {
        const before = state.declaredState;
        const after = stepDeclaredState(before, event, clock.now());
        state.declaredState = after;
        log.recordEvent(event, before, after, origin);
        if (after.confirmedAt > before.confirmedAt) {
            parts.onConfirmed?.();
        }
        const newestWeights = (declaredState: DeclaredState, { model }: WeightsEvent): number =>
            declaredState.weights.get(model)?.[0]?.version ?? 0;
        const hasNewWeights = event.kind === "weights" && newestWeights(after, event) > newestWeights(before, event);
        if (after.configuration !== before.configuration || hasNewWeights) {
            parts.onChange();
        }
    };

    /**
     * Decodes and applies a declaration. If it cannot be decoded, the last valid one stays in force.
     *
     * @returns the revision if it is a configuration
     */
    const declare = (key: string, value: Buffer, origin: ReadOrigin): number | undefined => {
        const declaration = decoder.decode(key, value, origin);
        switch (declaration?.kind) {
            case undefined:
            case "other":
                return undefined;
            case "rollout": {
                const { service, version, durationMs } = declaration;
                const id = origin.offset ?? NO_OFFSET;
                parts.onRollout({ id, service, version, durationMs, learnedAt: clock.now() });
                return undefined;
            }
            case "weights":
                apply(declaration, origin);
                return undefined;
            case "configuration": {
                const { revision } = declaration.configuration;
                const isNewer = revision > (state.declaredState.configuration?.revision ?? -1);
                state.raw = isNewer ? value : state.raw;
                apply(declaration, origin);
                return revision;
            }
        }
    };

    const hasStore = (): boolean => clock.now() - state.storeAt < STORE_AVAILABLE_MS;
    const readerScope = (): ReaderScope => {
        const scope = parts.readerScope();
        log.recordScope(scope);
        return scope;
    };

    const followed = followTopic({
        storeFor: parts.storeFor,
        clock,
        topic: wire.declarationsTopic,
        queryRelay: from => parts.queryRelay(wire.declarationsTopic, from),
        mustWaitForRelay: parts.mustWaitForRelay,
        waitMs: () => {
            const { declaredState, requestedAt } = state;
            const [beaconIntervalMs, isForDomains] = [parts.beaconIntervalMs(), parts.isForDomains()];
            const configurationMs = parts.configurationMs();
            const inputs = { declaredState, requestedAt, beaconIntervalMs, isForDomains, configurationMs };
            return parts.readerScope() === "fleet" ? readerWaitMs(inputs, clock.now()) : 0;
        },
        dueInMs: () => {
            const { declaredState, requestedAt } = state;
            const configurationMs = parts.configurationMs();
            return declarationsDueIn(
                { declaredState, requestedAt, scope: readerScope(), configurationMs },
                clock.now(),
            );
        },
        reasonOfRead: () => {
            if (parts.readerScope() === "fleet") {
                return "reader";
            }
            const { configuration, newestRevision } = state.declaredState;
            return newestRevision > (configuration?.revision ?? -1) ? "changed" : "follower";
        },
        catchUp: "newest",
        onRestart: () => {
            logger.warn("The declarations' topic has begun anew.");
            mirror.restart();
            state.readRevision = -1;
        },
        onRead: ({ records, readTo, isWhole, asOf, requestedAt, isRelayed }) => {
            parts.checkSuspension();
            state.storeAt = isRelayed ? state.storeAt : clock.now();
            state.requestedAt = requestedAt;
            state.isReadFailing = false;
            mirror.record({ records, readTo, isWhole });
            log.recordRead(undefined, state.declaredState);
            log.recordStore(hasStore());
            const [from, readMs] = [isRelayed ? "relay" : "store", Math.round(clock.now() - requestedAt)] as const;
            const read = records.map(({ key, value, offset }) =>
                value === undefined ? undefined : declare(key, value, { from, offset, readMs })
            );
            state.readRevision = Math.max(state.readRevision, ...read.map(each => each ?? -1));
            if (asOf === undefined) {
                return;
            }
            const revision = state.declaredState.configuration?.revision;
            if (revision !== undefined && decoder.isConfigurationReadable()) {
                apply({ kind: "confirmed", revision, asOf, stampedAt: requestedAt, by: from });
            }
            if (!isRelayed && parts.readerScope() === "fleet") {
                parts.onFleetRead();
            }
        },
        onFailure: kind => {
            metrics.count("azureshunt_store_failures_total", "Calls to the store that failed.", {
                topic: "declarations",
                kind,
            });
            state.isReadFailing = true;
            log.recordRead(kind, state.declaredState);
            log.recordStore(hasStore());
        },
    });

    const fetchFrom = async (address: string): Promise<void> => {
        if (state.isFetching) {
            return;
        }
        state.isFetching = true;
        const requestedAt = clock.now();
        const body = await getBody(parts.agent, address, "/configuration", FETCH_TIMEOUT_MS);
        state.isFetching = false;
        if (body !== undefined) {
            declare("config", body, { from: "peer", address, readMs: Math.round(clock.now() - requestedAt) });
        }
    };

    const learnTargets: Declarations["learnTargets"] = (targets, at) =>
        targets.forEach(([model, version, ageMs]) =>
            apply({ kind: "weights", model, version, knownSince: ageMs === undefined ? undefined : at - ageMs })
        );
    const applyBeacon: Declarations["applyBeacon"] = ({ beacon, receivedAt, sentAfter, stampedAt }, address) => {
        // From the receipt: subtracted from `sentAfter`, the ages would make targets older than they are.
        learnTargets(beacon.weights, receivedAt);
        if (beacon.confirmedMs !== undefined) {
            const asOf = sentAfter - beacon.confirmedMs;
            const { newestRevision } = state.declaredState;
            apply({ kind: "confirmed", revision: beacon.revision, asOf, stampedAt, by: beacon.vm });
            // The VMs of a failure domain query its relays, so these read at once. If the others did too, their queries
            // would reach the relays at one moment, and before they have read.
            if (state.declaredState.newestRevision > newestRevision && parts.readerScope() !== "none") {
                followed.check();
            }
        }
        // While the store is available, its record is read instead: dozens of VMs fetching from one peer would saturate
        // its link.
        if (state.isReadFailing && beacon.revision > (state.declaredState.configuration?.revision ?? -1)) {
            void fetchFrom(address);
        }
    };
    /**
     * If the store refuses a relay, the relay gets the newest configuration from another VM. A VM that queries it would
     * get the answer that there are no records after its own last one, and take its own configuration for the newest.
     * To prevent this, a relay answers only if the newest configuration that it knows is among the records that it
     * read.
     */
    const answer: Declarations["answer"] = from => {
        parts.checkSuspension();
        const { configuration, confirmedAt } = state.declaredState;
        const ageMs = clock.now() - confirmedAt;
        const isRead = configuration?.revision === state.readRevision && decoder.isConfigurationReadable();
        const page = isRead && ageMs < readTiming(parts.configurationMs()).maxAnswerAgeMs
            ? mirror.answer(from)
            : undefined;
        return page === undefined ? undefined : { ...page, ageMs, readAgeMs: ageMs };
    };
    return {
        answer,
        current: () => state.declaredState,
        raw: () => state.raw,
        hasStore,
        applyBeacon,
        learnTargets,
        held: mirror.held,
        onSuspended: () => apply({ kind: "suspended" }),
        stop: followed.stop,
    };
}
