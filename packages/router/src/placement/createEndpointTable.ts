import type { Clock, EndpointName, FailureDomain, Millis, ModelName, ServiceName } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { DeclaredState } from "../knowledge/DeclaredState.js";
import { outdatedSince } from "../knowledge/outdatedSince.js";
import type { EndpointShare } from "../peers/EndpointShare.js";
import { digestOfRegistry } from "../registry/digestOfRegistry.js";
import { emptyRegistry } from "../registry/emptyRegistry.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { Registry } from "../registry/Registry.js";
import { stepRegistry } from "../registry/stepRegistry.js";
import type { createAvailability } from "./createAvailability.js";
import { createEngineOrders } from "./createEngineOrders.js";
import { createEngineVersions } from "./createEngineVersions.js";
import { createObservations } from "./createObservations.js";
import type { createPerformance } from "./createPerformance.js";
import type { EndpointTable } from "./EndpointTable.js";
import { ENTRY_LAG_MS } from "./ENTRY_LAG_MS.js";
import { healthAfterTry } from "./healthAfterTry.js";
import { loadOf } from "./loadOf.js";
import type { PromptShare } from "./PromptShare.js";
import { trackInFlight } from "./trackInFlight.js";

type EndpointTableParts = {
    readonly clock: Clock;
    readonly failureDomain: FailureDomain;
    readonly declaredState: () => DeclaredState;
    /** Load of the peers at an endpoint, as they last reported it. */
    readonly peerLoadAt: (endpoint: EndpointName) => EndpointShare;
    /** How long a failure domain has been silent; 0 for this VM's own. */
    readonly domainSilentMs: (domain: FailureDomain) => Millis;
    /** Engines whose weights were replaced longer ago than this get no requests. */
    readonly outdatedLimitMs: () => Millis;
    /** Called when this VM's view of an endpoint changes. */
    readonly onChange: (endpoint: EndpointName, change: EndpointChange, inputs: object) => void;
    /** Called when an endpoint has left or a new incarnation of it has started, which loses what it had cached. */
    readonly onGone: (endpoint: EndpointName) => void;
    /** How fast endpoints are; without it, all are taken to be as fast as the constants say. */
    readonly performance?: ReturnType<typeof createPerformance>;
    /** What endpoints say of themselves in their answers; without it, the registry alone says which leave. */
    readonly availability?: Pick<ReturnType<typeof createAvailability>, "isLeaving" | "isPaused">;
};

/** How a view of an endpoint changes. */
type EndpointChange = "registered" | "leaving" | "gone" | "paused" | "on-older-weights";

/**
 * Time after its backoff for which an endpoint counts as silent until it shows activity: a VM of a large fleet tries each
 * endpoint only every few seconds, and a first backoff lasts a fraction of a second.
 */
const SILENT_MS: Millis = 10_000;

const NO_PROMPT: PromptShare = { missingTokens: 0, fetchedTokens: 0, source: undefined };

const servicesOf = (cfg: RoutingConfiguration | undefined): RoutingConfiguration["services"] =>
    cfg?.services ?? new Map();

/** Creates the endpoint table from the registry's entries and this VM's own observations. */
export function createEndpointTable(parts: EndpointTableParts): EndpointTable {
    const { clock, declaredState } = parts;
    const state = {
        registry: emptyRegistry as Registry,
        digest: digestOfRegistry(emptyRegistry),
        entryByAddress: new Map<string, EndpointEntry>(),
        /** All entries, kept until one changes, as requests and ticks look through them. */
        entries: [] as readonly EndpointEntry[],
        /** By service: the endpoints that are not leaving, collected when they are first needed after a change. */
        serving: new Map<ServiceName, readonly EndpointEntry[]>(),
        engineServices: [] as readonly ServiceName[],
        /** When this process last went on after a pause. */
        resumedAt: -Infinity as Millis,
    };
    const observations = createObservations(clock, endpoint => {
        parts.performance?.forget(endpoint);
        parts.onGone(endpoint);
    });

    const entryOf: EndpointTable["entryOf"] = endpoint => state.registry.endpoints.get(endpoint)?.entry;
    const allEntries = (): readonly EndpointEntry[] => state.entries;

    const versions = createEngineVersions({
        clock,
        observations,
        entryOf,
        entriesReadAsOf: () => state.registry.readAsOf,
        onOlder: (endpoint, inputs) => parts.onChange(endpoint, "on-older-weights", inputs),
    });
    const orders = createEngineOrders({ clock, observations, entryOf, versionAt: versions.at });

    const outdatedFor = (model: ModelName | undefined, version: number | undefined): Millis | undefined => {
        const since = model === undefined || version === undefined
            ? undefined
            : outdatedSince(declaredState(), model, version);
        return since === undefined ? undefined : clock.now() - since;
    };

    const applyRegistryEvent: EndpointTable["applyRegistryEvent"] = event => {
        const before = state.registry;
        state.registry = stepRegistry(before, event, clock.now());
        if (state.registry.endpoints === before.endpoints) {
            versions.adoptAllStated();
            return;
        }
        const entries = [...state.registry.endpoints.values()].map(({ entry }) => entry);
        state.entries = entries;
        state.serving = new Map();
        entries.forEach(versions.adoptStated);
        state.digest = digestOfRegistry(state.registry);
        state.entryByAddress = new Map(entries.map(entry => [entry.address, entry]));
        state.engineServices = [
            ...new Set(entries.filter(({ versions }) => versions.size > 0).map(({ service }) => service)),
        ];
        [...before.endpoints.keys()].filter(name => !state.registry.endpoints.has(name)).forEach(name => {
            observations.drop(name);
            parts.onChange(name, "gone", { registry: event.kind });
        });
        entries.forEach(entry => {
            const known = before.endpoints.get(entry.name)?.entry;
            if (known === undefined || known.isLeaving !== entry.isLeaving) {
                const { service, failureDomain, bornAt } = entry;
                parts.onChange(entry.name, entry.isLeaving ? "leaving" : "registered", {
                    service,
                    failureDomain,
                    bornAt,
                });
            }
        });
    };

    const isLeaving = (entry: EndpointEntry): boolean => parts.availability?.isLeaving(entry) === true;
    const isPaused = (entry: EndpointEntry): boolean => parts.availability?.isPaused(entry) === true;
    /** Endpoints that leave neither by the registry, which may be late or away, nor by their own answers. */
    const stayingEntries = (): readonly EndpointEntry[] =>
        allEntries().filter(entry => !entry.isLeaving && !isLeaving(entry));
    const servingEntries: EndpointTable["servingEntries"] = service => {
        const serving = state.serving.get(service)
            ?? allEntries().filter(entry => !entry.isLeaving && entry.service === service);
        state.serving.set(service, serving);
        return serving.some(isLeaving) ? serving.filter(entry => !isLeaving(entry)) : serving;
    };

    const freeSlots: EndpointTable["freeSlots"] = service => {
        const now = clock.now();
        const slots = servicesOf(declaredState().configuration).get(service)?.engine?.slots;
        return servingEntries(service).reduce((sum, entry) => {
            const { health, inFlight } = observations.of(entry);
            const running = inFlight.length + parts.peerLoadAt(entry.name).running;
            return health.backoffUntil > now || isPaused(entry)
                ? sum
                : sum + Math.max(0, (slots ?? entry.slots) - running);
        }, 0);
    };

    const candidates: EndpointTable["candidates"] = request => {
        const now = clock.now();
        const engine = servicesOf(declaredState().configuration).get(request.service)?.engine;
        const serving = servingEntries(request.service);
        const placeable = (request.select?.(serving) ?? serving)
            .filter(entry => !request.avoid.has(entry.name))
            .filter(entry => request.model === undefined || entry.versions.has(request.model))
            .map(entry => {
                const weights = versions.at(entry, request.model);
                const outdatedMs = outdatedFor(request.model, weights);
                return { entry, weights, observed: observations.of(entry), outdatedMs };
            })
            .filter(({ entry }) => orders.at(entry, request.model) === undefined)
            .filter(({ outdatedMs }) => (outdatedMs ?? 0) < parts.outdatedLimitMs());
        const withWeights = (weights: number | undefined): readonly EndpointEntry[] =>
            placeable.filter(each => each.weights === weights).map(({ entry }) => entry);
        return placeable.map(({ entry, weights, observed, outdatedMs }) => {
            const prompt = engine === undefined
                ? NO_PROMPT
                : request.promptAt(entry, weights, () => withWeights(weights));
            const lastActivityAt = Math.max(observed.lastActivityAt, state.resumedAt);
            const load = loadOf(observed.inFlight, parts.peerLoadAt(entry.name), lastActivityAt, now);
            // Written out, since copying the properties of objects is slow, and there are dozens of endpoints.
            const candidate = {
                name: entry.name,
                health: observed.health,
                hasBeenReached: observed.isReached && observed.health.unreachedInRow === 0,
                isSameDomain: entry.failureDomain === parts.failureDomain,
                slots: engine?.slots ?? entry.slots,
                memorySize: engine?.cacheTokens ?? 0,
                missingTokens: prompt.missingTokens,
                fetchedTokens: prompt.fetchedTokens,
                outdatedMs,
                domainSilentMs: parts.domainSilentMs(entry.failureDomain),
                ownRunning: load.ownRunning,
                running: load.running,
                waitingTokens: load.waitingTokens,
                memoryTokens: load.memoryTokens,
                silentMs: load.silentMs,
            };
            return { entry, weights, candidate };
        });
    };

    const withPerformance: EndpointTable["withPerformance"] = (candidate, model) => {
        const entry = parts.performance === undefined ? undefined : entryOf(candidate.name);
        if (entry === undefined) {
            return candidate;
        }
        const { inFlight } = observations.of(entry);
        const isUnread = inFlight.some(({ sentAt }) => sentAt < state.resumedAt);
        const tries = isUnread
            ? inFlight.map(each => ({ ...each, sentAt: Math.max(each.sentAt, state.resumedAt) }))
            : inFlight;
        return { ...candidate, ...parts.performance?.at(entry, model, tries) };
    };

    const beginRequest: EndpointTable["beginRequest"] = (endpoint, sizes) =>
        trackInFlight({
            clock,
            observed: observations.last(endpoint),
            sizes,
            onBackoff: inputs => parts.onChange(endpoint, "paused", inputs),
        });

    const isUp: EndpointTable["isUp"] = entry =>
        observations.of(entry).health.backoffUntil <= clock.now() && !isPaused(entry);

    const isSilent: EndpointTable["isSilent"] = entry => {
        const { health, lastActivityAt } = observations.of(entry);
        const { backoffUntil } = health;
        const now = clock.now();
        return backoffUntil > now || (lastActivityAt < backoffUntil && now - backoffUntil < SILENT_MS);
    };

    const recordUnreached: EndpointTable["recordUnreached"] = endpoint => {
        const observed = observations.last(endpoint);
        if (observed !== undefined) {
            observed.health = healthAfterTry(observed.health, "unreached", clock.now(), false);
            const { unreachedInRow } = observed.health;
            parts.onChange(endpoint, "paused", { outcome: "unreached", unreachedInRow, by: "order" });
        }
    };

    const enginesOf = (model: ModelName): readonly EndpointEntry[] =>
        stayingEntries().filter(entry => entry.versions.has(model));

    const isAnyOutdated: EndpointTable["isAnyOutdated"] = (model, version) =>
        enginesOf(model).some(entry => (versions.at(entry, model) ?? 0) < version);

    const areVersionsInDoubt: EndpointTable["areVersionsInDoubt"] = () => {
        const isReadLately = clock.now() - state.registry.readAsOf <= ENTRY_LAG_MS;
        // Most VMs ask this several times a second, and mostly no engine is outdated.
        const hasLongOutdated = (model: ModelName, newest: number): boolean =>
            isAnyOutdated(model, newest)
            && enginesOf(model).some(entry => (outdatedFor(model, versions.at(entry, model)) ?? 0) > ENTRY_LAG_MS);
        return versions.areUnread() ||
            (!isReadLately &&
                [...declaredState().weights].some(([model, [target]]) => hasLongOutdated(model, target?.version ?? 0)));
    };

    const engines: EndpointTable["engines"] = model =>
        enginesOf(model)
            .map(entry => {
                const observed = observations.of(entry);
                const version = versions.at(entry, model) ?? 0;
                const { running } = loadOf(
                    observed.inFlight,
                    parts.peerLoadAt(entry.name),
                    observed.lastActivityAt,
                    clock.now(),
                );
                return {
                    endpoint: entry.name,
                    bornAt: entry.bornAt,
                    version,
                    outdatedMs: outdatedFor(model, version) ?? 0,
                    restartedAt: observed.restartedAt,
                    order: orders.inProgress(entry),
                    running,
                    // Only a call shows that an engine is back, and on outdated weights it gets no call but an order.
                    // Waiting for other activity would leave it on them forever. The backoff grows with each failed
                    // order.
                    isUp: isUp(entry),
                };
            });

    return {
        isKnown: () => state.registry.isKnown,
        size: () => state.registry.endpoints.size,
        answeredAt: () => state.registry.answeredAt,
        registryDigest: () => state.digest,
        applyRegistryEvent,
        candidates,
        onPaused: () => {
            state.resumedAt = clock.now();
        },
        withPerformance,
        beginRequest,
        recordStart: (entry, start) =>
            entryOf(entry.name)?.bornAt === entry.bornAt ? parts.performance?.observe(entry, start) : undefined,
        isUp,
        isSilent,
        recordUnreached,
        observeWeights: versions.observe,
        receiveWeights: versions.receive,
        weightsBasis: (entry, model) => {
            const version = versions.at(entry, model);
            const outdatedMs = outdatedFor(model, version);
            return {
                endpoint: entry.name,
                model,
                version,
                ...versions.sourceAt(entry, model),
                entryVersion: entry.versions.get(model),
                ordered: orders.at(entry, model)?.version,
                outdatedMs: outdatedMs === undefined ? undefined : Math.round(outdatedMs),
            };
        },
        recordOrder: orders.record,
        orderEnded: orders.end,
        onOrdered: orders.onOrdered,
        isAnyOutdated,
        areVersionsInDoubt,
        versionsAgeMs: () => clock.now() - state.registry.readAsOf,
        engines,
        entries: allEntries,
        servingEntries,
        freeSlots,
        engineServices: () => state.engineServices,
        entryAt: address => state.entryByAddress.get(address),
        entryOf,
        ownShares: () =>
            observations.all().filter(([, observed]) => observed.inFlight.length > 0).map(([name, observed]) => {
                const { running, waitingTokens, memoryTokens } = loadOf(
                    observed.inFlight,
                    undefined,
                    observed.lastActivityAt,
                    clock.now(),
                );
                return [name, { running, waitingTokens, memoryTokens }] as const;
            }),
        ownOrders: () => allEntries().flatMap(orders.own),
        engineVersions: versions.all,
    };
}
