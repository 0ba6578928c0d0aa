import type { Clock, EndpointName, Millis, ModelName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { createObservations } from "./createObservations.js";
import type { EndpointObservations } from "./EndpointObservations.js";
import type { EndpointTable } from "./EndpointTable.js";
import { ENTRY_LAG_MS } from "./ENTRY_LAG_MS.js";
import type { VersionSource } from "./VersionSource.js";

type EngineVersionsParts = {
    readonly clock: Clock;
    readonly observations: ReturnType<typeof createObservations>;
    readonly entryOf: EndpointTable["entryOf"];
    /** As of when the store was read for the entries. */
    readonly entriesReadAsOf: () => Millis;
    /** Called when an engine holds older weights than it was known to hold. */
    readonly onOlder: (
        endpoint: EndpointName,
        inputs: { readonly stated: number; readonly known: number; },
    ) => void;
};

/** The versions of the weights that engines hold, as their entries, they themselves and peers say. */
type EngineVersions = {
    /** Returns the version that an engine holds for a model; undefined if it serves none. */
    readonly at: (entry: EndpointEntry, model: ModelName | undefined) => number | undefined;
    /** Who stated that version, and for how long nothing has confirmed it. */
    readonly sourceAt: (
        entry: EndpointEntry,
        model: ModelName | undefined,
    ) => { readonly by: string; readonly statedFor: ModelName | undefined; readonly ageMs: Millis; };
    readonly adoptStated: (entry: EndpointEntry) => void;
    /** As `adoptStated`, for all entries; only for use while these have not changed since the last call. */
    readonly adoptAllStated: () => void;
    /**
     * Whether an engine may no longer hold the version that it is known for: nothing has confirmed it for so long that its
     * entry shows what it holds, but the store was last read before.
     */
    readonly areUnread: () => boolean;
    readonly observe: EndpointTable["observeWeights"];
    readonly receive: EndpointTable["receiveWeights"];
    readonly all: EndpointTable["engineVersions"];
};

/** Creates the versions from what is observed of endpoints. */
export function createEngineVersions(parts: EngineVersionsParts): EngineVersions {
    const { clock, observations, entryOf } = parts;
    /**
     * Engines that may hold a later version than their entry states. Beacons confirm the entries dozens of times a
     * second, and all others need no look then.
     */
    const ahead = new Set<EndpointName>();
    const at: EngineVersions["at"] = (entry, model) =>
        model === undefined || !entry.versions.has(model)
            ? undefined
            : Math.max(entry.versions.get(model) ?? 0, observations.of(entry).knownVersion);

    /**
     * If an engine loads older weights again, for example by a late order after a restart, all that is known of it but
     * its entry names the newer ones: requests for these are rejected, and no order follows. To prevent this, a version
     * that nothing has confirmed for long enough for the registry to show it gives way to the entry.
     */
    const adoptStated: EngineVersions["adoptStated"] = entry => {
        const observed = observations.of(entry);
        const stated = Math.max(0, ...entry.versions.values());
        const isConfirmed = parts.entriesReadAsOf() - observed.versionConfirmedAt <= ENTRY_LAG_MS;
        if (stated > 0 && stated < observed.knownVersion && !isConfirmed) {
            parts.onOlder(entry.name, { stated, known: observed.knownVersion });
            observed.distrustedVersion = observed.knownVersion;
            observed.knownVersion = stated;
        }
        if (stated > 0 && stated < observed.knownVersion) {
            ahead.add(entry.name);
        }
        else {
            ahead.delete(entry.name);
        }
    };
    const areUnread: EngineVersions["areUnread"] = () => {
        const dueAt = ({ versionConfirmedAt }: EndpointObservations): Millis => versionConfirmedAt + ENTRY_LAG_MS;
        return [...ahead].some(endpoint => {
            const observed = observations.last(endpoint);
            return observed !== undefined && dueAt(observed) < clock.now() &&
                dueAt(observed) >= parts.entriesReadAsOf();
        });
    };
    const adoptAllStated: EngineVersions["adoptAllStated"] = () =>
        [...ahead].forEach(endpoint => {
            const entry = entryOf(endpoint);
            if (entry === undefined) {
                ahead.delete(endpoint);
                return;
            }
            adoptStated(entry);
        });

    const recordVersion = (
        { name }: EndpointEntry,
        observed: EndpointObservations,
        version: number,
        source: VersionSource,
    ): boolean => {
        const isNewer = version > observed.knownVersion;
        if (isNewer) {
            ahead.add(name);
            observed.knownVersion = version;
            observed.versionSource = source;
            observed.versionLearnedAt = clock.now();
            observed.versionConfirmedAt = clock.now();
        }
        return isNewer;
    };
    const observe: EngineVersions["observe"] = (endpoint, { model, version }) => {
        const entry = entryOf(endpoint);
        if (entry !== undefined) {
            const observed = observations.of(entry);
            const source: VersionSource = { by: "engine", model };
            recordVersion(entry, observed, version, source);
            if (version === observed.knownVersion) {
                observed.versionSource = source;
                observed.versionConfirmedAt = clock.now();
            }
        }
    };
    const receive: EngineVersions["receive"] = (endpoint, version, by) => {
        const entry = entryOf(endpoint);
        if (entry === undefined) {
            return false;
        }
        const observed = observations.of(entry);
        // Recorded as learned now, so that a relay sends it on to its peers promptly as well.
        return version > observed.distrustedVersion &&
            recordVersion(entry, observed, version, { by, model: undefined });
    };
    const sourceAt: EngineVersions["sourceAt"] = (entry, model) => {
        const { knownVersion, versionSource, versionConfirmedAt } = observations.of(entry);
        const stated = model === undefined ? 0 : entry.versions.get(model) ?? 0;
        return versionSource === undefined || knownVersion < stated
            ? { by: "entry", statedFor: model, ageMs: Math.round(clock.now() - parts.entriesReadAsOf()) }
            : {
                by: versionSource.by,
                statedFor: versionSource.model,
                ageMs: Math.round(clock.now() - versionConfirmedAt),
            };
    };
    return {
        at,
        sourceAt,
        adoptStated,
        adoptAllStated,
        areUnread,
        observe,
        receive,
        all: () =>
            observations.all().filter(([, observed]) => observed.knownVersion > 0).map(([endpoint, observed]) => ({
                endpoint,
                version: observed.knownVersion,
                learnedAt: observed.versionLearnedAt,
            })),
    };
}
