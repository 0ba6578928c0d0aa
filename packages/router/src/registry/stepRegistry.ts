import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";
import type { Registry } from "./Registry.js";
import type { RegistryEvent } from "./RegistryEvent.js";

/** Between two answers of the registry: longer than the reads are apart, so a longer gap means that it was away. */
const GAP_MS = 2_500;
/** Entries that lapsed while the registry was away are back within two seconds of its return. */
const RETURN_MS = 2_200;

type Registered = Registry["endpoints"] extends ReadonlyMap<EndpointName, infer Item> ? Item : never;
type Endpoints = ReadonlyMap<EndpointName, Registered>;

const heard = (registry: Registry, now: Millis): Registry => ({
    ...registry,
    isKnown: true,
    answeredAt: now,
    answeringSince: now - registry.answeredAt > GAP_MS ? now : registry.answeringSince,
});

const put = (endpoints: Endpoints, entry: EndpointEntry): Endpoints => {
    const known = endpoints.get(entry.name)?.entry;
    // A record that was held up must not bring back an earlier run of the same endpoint.
    return known !== undefined && known.bornAt > entry.bornAt
        ? endpoints
        : new Map([...endpoints, [entry.name, { entry, missingSince: undefined }]]);
};

/**
 * Failure: the registry is away, entries lapse meanwhile, and at its return all endpoints seem gone although they live;
 * callers would be refused. It shows as removals right after a gap. Guard: for the time in which a living endpoint is
 * back, such an entry is only missing; one that says that it leaves is dropped at once.
 */
const remove = (registry: Registry, endpoints: Endpoints, name: EndpointName, now: Millis): Endpoints => {
    const known = endpoints.get(name);
    if (known === undefined) {
        return endpoints;
    }
    const mayReturn = now - registry.answeringSince < RETURN_MS && registry.answeringSince > -Infinity;
    if (mayReturn && !known.entry.isLeaving) {
        return new Map([...endpoints, [name, { ...known, missingSince: known.missingSince ?? now }]]);
    }
    return new Map([...endpoints].filter(([each]) => each !== name));
};

const dropMissing = (registry: Registry, now: Millis): Registry => {
    const isOver = ({ missingSince }: Registered): boolean =>
        missingSince !== undefined && now - registry.answeringSince >= RETURN_MS;
    return [...registry.endpoints.values()].some(isOver)
        ? { ...registry, endpoints: new Map([...registry.endpoints].filter(([, each]) => !isOver(each))) }
        : registry;
};

const replaceAll = (registry: Registry, entries: readonly EndpointEntry[], now: Millis): Registry => {
    const names = new Set(entries.map(entry => entry.name));
    const gone = [...registry.endpoints.keys()].filter(name => !names.has(name));
    const kept = gone.reduce((endpoints, name) => remove(registry, endpoints, name, now), registry.endpoints);
    return { ...registry, endpoints: entries.reduce(put, kept) };
};

/** Applies what the registry says to the endpoints that a VM knows. */
export function stepRegistry(before: Registry, event: RegistryEvent, now: Millis): Registry {
    switch (event.kind) {
        case "whole":
            return dropMissing(replaceAll(heard(before, now), event.entries, now), now);
        case "changes": {
            const registry = heard(before, now);
            const endpoints = event.changes.reduce<Endpoints>(
                (all, { name, entry }) => entry === undefined ? remove(registry, all, name, now) : put(all, entry),
                registry.endpoints,
            );
            return dropMissing({ ...registry, endpoints }, now);
        }
        case "vouched":
            return event.asOf <= before.answeredAt ? before : dropMissing(heard(before, event.asOf), now);
        case "tick":
            return now - before.answeredAt > GAP_MS ? before : dropMissing(before, now);
    }
}
