import type {
    Clock,
    EndpointName,
    FailureDomain,
    Millis,
    OrganisationId,
    Peer,
    RequestId,
    ServiceName,
} from "@azureshunt/core";

import type { Continuation } from "./Continuation.js";
import { createHomeQueries } from "./createHomeQueries.js";
import { createStreamOrigins } from "./createStreamOrigins.js";
import { createVersionHistories } from "./createVersionHistories.js";
import { createVersionNames } from "./createVersionNames.js";
import { decideContinuation } from "./decideContinuation.js";
import type { EndpointRun } from "./EndpointRun.js";
import { isComplete } from "./isComplete.js";
import { knowledgeJson } from "./knowledgeJson.js";
import type { KnownOrigin } from "./KnownOrigin.js";
import { originsDatagram } from "./originsDatagram.js";
import type { RecordedVersions } from "./RecordedVersions.js";
import type { RegisteredRun } from "./RegisteredRun.js";
import { settledRuns } from "./settledRuns.js";
import { soleVersion } from "./soleVersion.js";
import type { StatedOrigin } from "./StatedOrigin.js";
import { STREAM_LIFE_MS } from "./STREAM_LIFE_MS.js";
import { streamHomes } from "./streamHomes.js";
import type { StreamId } from "./StreamId.js";
import { streamIdOf } from "./streamIdOf.js";
import type { StreamOrigin } from "./StreamOrigin.js";
import { streamQuery } from "./streamQuery.js";
import { versionsToRecord } from "./versionsToRecord.js";

type StreamKeeperParts = {
    readonly clock: Clock;
    readonly failureDomain: FailureDomain;
    /** Whether all VMs start for the first time. */
    readonly isFirstStart: boolean;
    /** All endpoints that are registered, also those that are leaving. */
    readonly runs: () => readonly RegisteredRun[];
    readonly entryOf: (endpoint: EndpointName) => EndpointRun | undefined;
    /** Endpoints of a service that take requests and may get them by the state of its rollout. */
    readonly servingRuns: (service: ServiceName) => readonly EndpointRun[];
    /** Maximum age of the known entries. */
    readonly registryAgeMs: () => Millis;
    /** Whether a peer has read other entries than this VM. */
    readonly isRegistryContradicted: () => boolean;
    /** Age up to which the registry counts as current. */
    readonly currentMs: () => Millis;
    /** Peers that are alive. */
    readonly peers: () => readonly Peer[];
    readonly send: (datagram: Buffer, address: string) => void;
    /** Makes a call to a peer; resolves with `undefined` if it has no answer in time. */
    readonly ask: (address: string, query: string) => Promise<Buffer | undefined>;
    /** Resolves once the store's record of versions has been read, or that takes too long. */
    readonly whenRecorded: () => Promise<void>;
    /** Whether the store keeps a record of versions, which `learnNamed` tells of; `false` if omitted. */
    readonly hasRecord?: boolean;
};

/** A stream that a caller takes up again. */
type ResumedStream = {
    readonly organisation: OrganisationId | undefined;
    /** The attempt that brought its first event; `undefined` if the caller names none. */
    readonly begunBy: RequestId | undefined;
    /** The service to which the request's route leads. */
    readonly service: ServiceName;
    readonly isTarget: (service: ServiceName) => boolean;
};

/** Where the knowledge came from that a decision rests on. */
type Source = "here" | "peer" | "sole-version" | "none";

/** Knows where streams began, and decides where they may go on. */
type StreamKeeper = {
    /** Decides where a stream may go on; asks peers if nothing here tells where it began. */
    readonly resolve: (
        stream: ResumedStream,
    ) => Promise<{ readonly continuation: Continuation; readonly source: Source; }>;
    /** Records the first event of a stream, and tells its homes; called before the event is forwarded. */
    readonly recordFirst: (
        organisation: OrganisationId | undefined,
        attempt: RequestId,
        origin: StreamOrigin,
        leftMs: Millis,
    ) => void;
    /** Selects the endpoints of a service at which a new stream may begin; `isUp` tells which this VM can reach. */
    readonly selectForNew: <Run extends EndpointRun>(
        service: ServiceName,
        runs: readonly Run[],
        isUp: (run: Run) => boolean,
    ) => readonly Run[];
    /** Adds entries that were read from the registry, also those that are gone again. */
    readonly addEntries: (runs: readonly RegisteredRun[]) => void;
    /** Applies a datagram of a peer; returns `false` if it is of another kind. */
    readonly receive: (datagram: Buffer) => boolean;
    /** Answers a peer's query. */
    readonly answer: (query: string) => Buffer;
    /**
     * Applies the versions that the store names. They stand for the history from before the start of this process, as
     * no stream begins at a version before the store should name it.
     */
    readonly learnRecorded: (recorded: readonly RecordedVersions[]) => void;
    /** Applies the versions that the store names as of a read or a write; `undefined` if they could not be read. */
    readonly learnNamed: (recorded: readonly RecordedVersions[] | undefined, asOf: Millis) => void;
    /** Whether a version has been registered lately that the store is not known to name. */
    readonly lacksNames: () => boolean;
    /** Returns the records that the store should have, if they differ from those that it has. */
    readonly versionsToRecord: (recorded: readonly RecordedVersions[]) => readonly RecordedVersions[];
    readonly tick: () => void;
    readonly size: () => number;
};

/** Streams that a VM knows at most; of some hundred bytes each. */
const MAX_STREAMS = 16_384;
/** Homes that are told of a stream in a large fleet. */
const TOLD_HOMES = 2;
/** Interval of looking for endpoints and gaps. */
const CHECK_MS: Millis = 500;
/** Time between two requests for the history of a peer, while this VM has none that goes back far enough. */
const HISTORY_RETRY_MS: Millis = 3_000;
/** Time after which all VMs whose registry is current know a new entry, beyond the age up to which it is current. */
const SETTLE_MARGIN_MS: Millis = 500;

/** Creates a keeper that knows no streams yet. */
export function createStreamKeeper(parts: StreamKeeperParts): StreamKeeper {
    const { clock } = parts;
    const known = createStreamOrigins(MAX_STREAMS);
    /** Those that began at this VM. */
    const own = createStreamOrigins(MAX_STREAMS);
    const isRegistryRecent = (): boolean => parts.registryAgeMs() <= parts.currentMs();
    const histories = createVersionHistories({
        clock,
        isFirstStart: parts.isFirstStart,
        runs: parts.runs,
        isWithoutGap: isRegistryRecent,
    });
    const names = createVersionNames({ clock, histories, hasRecord: parts.hasRecord === true });
    const state = {
        checkedAt: -Infinity as Millis,
        historyAskedAt: -Infinity as Millis,
        /** Services whose streams nobody has to be told of. */
        uniform: new Set<ServiceName>(),
        /** Records of the store that do not join on to a history of this VM yet. */
        recorded: [] as readonly RecordedVersions[],
    };
    const isCurrent = (): boolean => !parts.isRegistryContradicted() && isRegistryRecent();
    const soleVersionOf = (service: ServiceName): string | undefined => soleVersion(histories.of(service), clock.now());

    const tell = (stated: readonly StatedOrigin[]): void => {
        const peers = parts.peers();
        const byAddress = new Map<string, StatedOrigin[]>();
        stated.forEach(each =>
            streamHomes(each.id, peers, parts.failureDomain, TOLD_HOMES).forEach(({ address }) => {
                byAddress.set(address, [...byAddress.get(address) ?? [], each]);
            })
        );
        byAddress.forEach((origins, address) =>
            originsDatagram.encode(origins).forEach(datagram => parts.send(datagram, address))
        );
    };
    const statedOf = (id: StreamId, { origin, expiresAt }: KnownOrigin): StatedOrigin => ({
        id,
        origin,
        leftMs: expiresAt - clock.now(),
    });

    const recordFirst: StreamKeeper["recordFirst"] = (organisation, attempt, origin, leftMs) => {
        const id = streamIdOf(organisation, attempt);
        const now = clock.now();
        const entry = { origin, expiresAt: now + Math.min(leftMs, STREAM_LIFE_MS) };
        known.record(id, entry, now);
        own.record(id, entry, now);
        if (!state.uniform.has(origin.service) || soleVersionOf(origin.service) === undefined) {
            tell([statedOf(id, entry)]);
        }
    };

    const receiveOrigin = ({ id, origin, leftMs }: StatedOrigin): void => {
        const now = clock.now();
        known.record(id, { origin, expiresAt: now + Math.min(leftMs, STREAM_LIFE_MS) }, now);
    };

    const queries = createHomeQueries({
        ...parts,
        onOrigin: receiveOrigin,
        onHistories: histories.applyStated,
    });

    /** Streams begin unknown to others while one version serves; once that may no longer be so, they are told. */
    const tellIfNoLongerUniform = (): void => {
        const uniform = new Set(histories.services().filter(service => soleVersionOf(service) !== undefined));
        const changed = [...state.uniform].filter(service => !uniform.has(service));
        state.uniform = uniform;
        if (changed.length > 0) {
            const begun = own.all(clock.now()).filter(([, { origin }]) =>
                origin === "ambiguous" || changed.includes(origin.service)
            );
            tell(begun.map(([id, entry]) => statedOf(id, entry)));
        }
    };
    const addEntries: StreamKeeper["addEntries"] = runs => {
        histories.add(runs);
        tellIfNoLongerUniform();
    };
    const applyRecorded = (now: Millis): void => {
        const isCovered = ({ service }: RecordedVersions): boolean => histories.of(service).coveredSince <= now;
        histories.applyStated(
            now,
            state.recorded.filter(isCovered).map(({ service, versions }) => ({
                service,
                coveredMs: Infinity,
                versions: versions.map(version => [version ?? undefined, Infinity, 0]),
            })),
        );
        state.recorded = state.recorded.filter(each => !isCovered(each));
    };
    const check = (): void => {
        histories.tick();
        applyRecorded(clock.now());
        tellIfNoLongerUniform();
    };
    /** Asks the peers and the store, as far as that is not done yet: callers come back as soon as a VM has started. */
    const askOthers = async (id: StreamId | undefined): ReturnType<typeof queries.askHomes> => {
        const [answer] = await Promise.all([queries.askHomes(id), parts.whenRecorded()]);
        check();
        return answer;
    };

    const resolve: StreamKeeper["resolve"] = async stream => {
        const id = stream.begunBy === undefined ? undefined : streamIdOf(stream.organisation, stream.begunBy);
        const here = id === undefined ? undefined : known.find(id, clock.now())?.origin;
        const isKnown = here !== undefined || (soleVersionOf(stream.service) !== undefined && isCurrent());
        const asked = isKnown ? undefined : await askOthers(id);
        const origin = here ?? asked?.origin?.origin;
        const sole = soleVersionOf(stream.service);
        const continuation = decideContinuation({
            known: origin,
            service: stream.service,
            soleVersion: sole,
            isCurrent: isCurrent() || asked?.isCurrent === true,
            entryOf: parts.entryOf,
            servingRuns: parts.servingRuns,
            isTarget: stream.isTarget,
        });
        const source = here !== undefined
            ? "here"
            : origin !== undefined
            ? "peer"
            : continuation.kind === "origin-unknown"
            ? "none"
            : "sole-version";
        return { continuation, source };
    };

    const learnHistory = (now: Millis): void => {
        const isLacking = histories.services().some(service => !isComplete(histories.of(service), now));
        if (isLacking && now - state.historyAskedAt >= HISTORY_RETRY_MS) {
            state.historyAskedAt = now;
            queries.askForHistories();
        }
    };
    const tick = (): void => {
        const now = clock.now();
        if (now - state.checkedAt >= CHECK_MS) {
            state.checkedAt = now;
            check();
            learnHistory(now);
        }
    };
    return {
        resolve,
        recordFirst,
        selectForNew: (service, runs, isUp) => {
            const isNamed = names.namedIn(service);
            const named = runs.filter(({ softwareVersion }) => isNamed(softwareVersion));
            const settleMs = parts.currentMs() + SETTLE_MARGIN_MS;
            const settled = settledRuns(named, histories.of(service), settleMs, clock.now());
            if (settled.some(isUp)) {
                return settled;
            }
            if (named.length === runs.length || named.some(isUp)) {
                return named;
            }
            // A stream at a version that the store does not name would be taken for one of another version after all VMs
            // have ended. A VM that cannot read what it names goes on without.
            return names.areUnreadable() ? runs : [];
        },
        addEntries,
        receive: datagram => {
            const origins = originsDatagram.decode(datagram);
            origins?.forEach(receiveOrigin);
            return origins !== undefined;
        },
        answer: query => {
            const id = streamQuery.decode(query);
            const found = id && known.find(id, clock.now());
            return knowledgeJson.encode({
                origin: id && found && statedOf(id, found),
                isCurrent: isCurrent(),
                histories: histories.stated(),
            });
        },
        learnRecorded: recorded => {
            state.recorded = recorded;
            applyRecorded(clock.now());
        },
        learnNamed: names.learn,
        lacksNames: names.areLacking,
        versionsToRecord: recorded =>
            histories.services().flatMap(service => {
                const before = recorded.find(each => each.service === service)?.versions;
                const versions = versionsToRecord(histories.of(service), before, clock.now());
                return versions === undefined ? [] : [{ service, versions }];
            }),
        tick,
        size: known.size,
    };
}
