import type { Clock, EndpointName, Millis, ModelName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { createObservations } from "./createObservations.js";
import type { EndpointTable } from "./EndpointTable.js";
import { ENTRY_LAG_MS } from "./ENTRY_LAG_MS.js";
import type { KnownVersion } from "./KnownVersion.js";
import { onlyModelOf } from "./onlyModelOf.js";

type EngineVersionsParts = {
    readonly clock: Clock;
    readonly observations: ReturnType<typeof createObservations>;
    readonly entryOf: EndpointTable["entryOf"];
    /** As of when the store was read for the entries. */
    readonly entriesReadAsOf: () => Millis;
    /** Called when an engine holds older weights of a model than it was known to hold. */
    readonly onOlder: (
        endpoint: EndpointName,
        inputs: { readonly model: ModelName; readonly stated: number; readonly known: number; },
    ) => void;
};

/** The versions of the weights that engines hold for each model, as their entries, they themselves and peers say. */
type EngineVersions = {
    /** Returns the version that an engine holds for a model; undefined if it does not serve the model. */
    readonly at: (entry: EndpointEntry, model: ModelName | undefined) => number | undefined;
    /** Who stated that version, and for how long nothing has confirmed it. */
    readonly sourceAt: (entry: EndpointEntry, model: ModelName) => { readonly by: string; readonly ageMs: Millis; };
    readonly adoptStated: (entry: EndpointEntry) => void;
    /** As `adoptStated`, for all entries; only for use while these have not changed since the last call. */
    readonly adoptAllStated: () => void;
    /**
     * Whether an engine may no longer hold a version that it is known for: nothing has confirmed it for so long that its
     * entry shows what it holds, but the store was last read before.
     */
    readonly areUnread: () => boolean;
    readonly observe: EndpointTable["observeWeights"];
    readonly receive: EndpointTable["receiveWeights"];
    readonly all: EndpointTable["engineVersions"];
};

const newKnownVersion = (): KnownVersion => ({
    version: 0,
    by: "entry",
    confirmedAt: -Infinity,
    learnedAt: -Infinity,
    distrusted: 0,
});

/** Creates the versions from what is observed of endpoints. */
export function createEngineVersions(parts: EngineVersionsParts): EngineVersions {
    const { clock, observations, entryOf } = parts;
    /**
     * Engines that may hold a later version of a model than their entry states. Beacons confirm the entries dozens of
     * times a second, and all others need no look then.
     */
    const ahead = new Set<EndpointName>();
    const statedBy = (entry: EndpointEntry, model: ModelName): number => entry.versions.get(model) ?? 0;
    const knownOf = (entry: EndpointEntry, model: ModelName): KnownVersion => {
        const { versions } = observations.of(entry);
        const known = versions.get(model) ?? newKnownVersion();
        versions.set(model, known);
        return known;
    };
    /** Whether any version that is later than the entry's passes a test. Loops without copies, as beacons call it often. */
    const isAnyAhead = (entry: EndpointEntry, passes: (known: KnownVersion) => boolean): boolean => {
        for (const [model, known] of observations.of(entry).versions) {
            if (statedBy(entry, model) < known.version && passes(known)) {
                return true;
            }
        }
        return false;
    };
    const at: EngineVersions["at"] = (entry, model) =>
        model === undefined || !entry.versions.has(model)
            ? undefined
            : Math.max(statedBy(entry, model), observations.of(entry).versions.get(model)?.version ?? 0);

    /**
     * If an engine loads older weights again, for example by a late order after a restart, all that is known of it but
     * its entry names the newer ones: requests for these are rejected, and no order follows. To prevent this, a version
     * that nothing has confirmed for long enough for the registry to show it gives way to the entry. A model that the
     * entry no longer names is no longer served.
     */
    const adoptStated: EngineVersions["adoptStated"] = entry => {
        observations.of(entry).versions.forEach((known, model) => {
            const stated = statedBy(entry, model);
            const isConfirmed = parts.entriesReadAsOf() - known.confirmedAt <= ENTRY_LAG_MS;
            if (stated < known.version && !isConfirmed) {
                parts.onOlder(entry.name, { model, stated, known: known.version });
                known.distrusted = known.version;
                known.version = stated;
                known.by = "entry";
            }
        });
        if (isAnyAhead(entry, () => true)) {
            ahead.add(entry.name);
        }
        else {
            ahead.delete(entry.name);
        }
    };
    const areUnread: EngineVersions["areUnread"] = () => {
        const now = clock.now();
        const readAsOf = parts.entriesReadAsOf();
        const isUnread = ({ confirmedAt }: KnownVersion): boolean => {
            const dueAt = confirmedAt + ENTRY_LAG_MS;
            return dueAt < now && dueAt >= readAsOf;
        };
        return [...ahead].some(endpoint => {
            const entry = entryOf(endpoint);
            return entry !== undefined && isAnyAhead(entry, isUnread);
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

    const recordNewer = ({ name }: EndpointEntry, known: KnownVersion, version: number, by: KnownVersion["by"]) => {
        const isNewer = version > known.version;
        if (isNewer) {
            ahead.add(name);
            known.version = version;
            known.by = by;
            known.learnedAt = clock.now();
            known.confirmedAt = clock.now();
        }
        return isNewer;
    };
    const observe: EngineVersions["observe"] = (endpoint, { model, version }) => {
        const entry = entryOf(endpoint);
        if (entry === undefined) {
            return;
        }
        const known = knownOf(entry, model);
        recordNewer(entry, known, version, "engine");
        if (version === known.version) {
            known.by = "engine";
            known.confirmedAt = clock.now();
        }
    };
    const receive: EngineVersions["receive"] = (endpoint, { model: named, version }, by) => {
        const entry = entryOf(endpoint);
        const model = named ?? (entry === undefined ? undefined : onlyModelOf(entry));
        if (entry === undefined || model === undefined) {
            return false;
        }
        const known = knownOf(entry, model);
        // Recorded as learned now, so that a relay sends it on to its peers promptly as well.
        return version > known.distrusted && recordNewer(entry, known, version, by);
    };
    const sourceAt: EngineVersions["sourceAt"] = (entry, model) => {
        const known = observations.of(entry).versions.get(model);
        return known === undefined || known.by === "entry" || known.version < statedBy(entry, model)
            ? { by: "entry", ageMs: Math.round(clock.now() - parts.entriesReadAsOf()) }
            : { by: known.by, ageMs: Math.round(clock.now() - known.confirmedAt) };
    };
    const all: EngineVersions["all"] = () => {
        const rows: ReturnType<EngineVersions["all"]>[number][] = [];
        observations.all().forEach(([endpoint, { versions }]) =>
            versions.forEach(({ version, learnedAt }, model) => {
                if (version > 0) {
                    rows.push({ endpoint, weights: { model, version }, learnedAt });
                }
            })
        );
        return rows;
    };
    return { at, sourceAt, adoptStated, adoptAllStated, areUnread, observe, receive, all };
}
