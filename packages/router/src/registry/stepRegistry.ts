import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";
import { isSameEntry } from "./isSameEntry.js";
import type { Registry } from "./Registry.js";
import type { RegistryEvent } from "./RegistryEvent.js";

/**
 * Longest usual time between two answers of the registry. Reads are closer together, so a longer gap means an outage.
 */
const MAX_ANSWER_GAP_MS = 2_500;
/** Entries that expired while the registry was unavailable, or were lost, are back within two seconds of its return. */
const REREGISTRATION_MS = 2_200;

type Registered = Registry["endpoints"] extends ReadonlyMap<EndpointName, infer Item> ? Item : never;
type Endpoints = ReadonlyMap<EndpointName, Registered>;

const withAnswerAt = (registry: Registry, now: Millis): Registry => ({
    ...registry,
    isKnown: true,
    answeredAt: now,
    answeringSince: now - registry.answeredAt > MAX_ANSWER_GAP_MS ? now : registry.answeringSince,
});

const withReadAt = (registry: Registry, now: Millis, readAsOf: Millis = now): Registry => ({
    ...withAnswerAt(registry, now),
    readAsOf: Math.max(registry.readAsOf, readAsOf),
});

/**
 * Adds or replaces an entry. Endpoints rewrite their entries as heartbeats several times a second; the map stays the same
 * if all of them say what is known, so that nothing is derived from it again.
 */
const put = (endpoints: Endpoints, entry: EndpointEntry): Endpoints => {
    const known = endpoints.get(entry.name);
    // A delayed record must not bring back an earlier incarnation of the endpoint.
    const isOlder = known !== undefined && known.entry.bornAt > entry.bornAt;
    const isKnown = known !== undefined && known.missingSince === undefined && isSameEntry(known.entry, entry);
    return isOlder || isKnown ? endpoints : new Map(endpoints).set(entry.name, { entry, missingSince: undefined });
};

/**
 * Removes an endpoint, or marks it missing for now.
 *
 * While the registry is unavailable, entries expire, so when it returns all endpoints look gone although they are
 * alive, and callers would be refused. Symptom: removals right after a gap. To prevent this, such an entry is only
 * marked missing for the time a live endpoint needs to register again; an endpoint that says it is leaving is removed
 * at once.
 */
const remove = (registry: Registry, endpoints: Endpoints, name: EndpointName, now: Millis): Endpoints => {
    const known = endpoints.get(name);
    if (known === undefined) {
        return endpoints;
    }
    const mayReturn = now - registry.answeringSince < REREGISTRATION_MS && registry.answeringSince > -Infinity;
    if (mayReturn && !known.entry.isLeaving) {
        return new Map([...endpoints, [name, { ...known, missingSince: known.missingSince ?? now }]]);
    }
    return new Map([...endpoints].filter(([each]) => each !== name));
};

/** Whether any entry is missing, by map, as each beacon that confirms the entries asks for it. */
const missingIn = new WeakMap<Endpoints, boolean>();
const hasMissing = (endpoints: Endpoints): boolean => {
    const known = missingIn.get(endpoints) ?? [...endpoints.values()].some(each => each.missingSince !== undefined);
    missingIn.set(endpoints, known);
    return known;
};

const dropMissing = (registry: Registry, now: Millis): Registry => {
    if (!hasMissing(registry.endpoints)) {
        return registry;
    }
    const isExpired = ({ missingSince }: Registered): boolean =>
        missingSince !== undefined && now - registry.answeringSince >= REREGISTRATION_MS;
    return [...registry.endpoints.values()].some(isExpired)
        ? { ...registry, endpoints: new Map([...registry.endpoints].filter(([, each]) => !isExpired(each))) }
        : registry;
};

const replaceAll = (registry: Registry, entries: readonly EndpointEntry[], now: Millis): Registry => {
    const names = new Set(entries.map(entry => entry.name));
    const gone = [...registry.endpoints.keys()].filter(name => !names.has(name));
    const remaining = gone.reduce((endpoints, name) => remove(registry, endpoints, name, now), registry.endpoints);
    return { ...registry, endpoints: entries.reduce(put, remaining) };
};

/** Applies a registry event to the endpoints that a VM knows. */
export function stepRegistry(before: Registry, event: RegistryEvent, now: Millis): Registry {
    switch (event.kind) {
        case "whole":
            return dropMissing(replaceAll(withReadAt(before, now, event.readAsOf), event.entries, now), now);
        case "changes": {
            const registry = withReadAt(before, now, event.readAsOf);
            const endpoints = event.changes.reduce<Endpoints>(
                (all, { name, entry }) => entry === undefined ? remove(registry, all, name, now) : put(all, entry),
                registry.endpoints,
            );
            return dropMissing({ ...registry, endpoints }, now);
        }
        case "vouched":
            return event.asOf <= before.answeredAt ? before : dropMissing(withAnswerAt(before, event.asOf), now);
        case "restarted":
            return { ...before, answeringSince: now };
        case "tick":
            return now - before.answeredAt > MAX_ANSWER_GAP_MS ? before : dropMissing(before, now);
    }
}
