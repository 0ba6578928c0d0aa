import type { Clock, EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { EndpointObservations } from "./EndpointObservations.js";
import { initialHealth } from "./initialHealth.js";

/** This VM's observations of all endpoints. */
type Observations = {
    /**
     * Returns the observations of the incarnation that the entry names, initial ones if it differs from the known one.
     */
    readonly of: (entry: EndpointEntry) => EndpointObservations;
    /** Returns the observations of the last known incarnation; undefined if there are none. */
    readonly last: (endpoint: EndpointName) => EndpointObservations | undefined;
    readonly all: () => readonly (readonly [EndpointName, EndpointObservations])[];
    readonly drop: (endpoint: EndpointName) => void;
};

/** Time for which an endpoint that has left is remembered, as its entry may expire while it starts again. */
const DEPARTED_MS: Millis = 60_000;

/**
 * Creates an empty table of observations by endpoint.
 *
 * @param onGone called when an endpoint has left or a new incarnation of it has started, which loses what it had cached
 */
export function createObservations(clock: Clock, onGone: (endpoint: EndpointName) => void): Observations {
    const all = new Map<EndpointName, EndpointObservations>();
    const departed = new Map<EndpointName, { readonly bornAt: number; readonly at: Millis; }>();
    const of: Observations["of"] = entry => {
        const known = all.get(entry.name);
        if (known?.bornAt === entry.bornAt) {
            return known;
        }
        if (known !== undefined) {
            onGone(entry.name);
        }
        const created: EndpointObservations = {
            bornAt: entry.bornAt,
            restartedAt: (known ?? departed.get(entry.name) ?? entry).bornAt === entry.bornAt ? -Infinity : clock.now(),
            health: initialHealth,
            inFlight: [],
            lastActivityAt: -Infinity,
            isReached: false,
            versions: new Map(),
            order: undefined,
        };
        all.set(entry.name, created);
        return created;
    };
    const drop: Observations["drop"] = endpoint => {
        const bornAt = all.get(endpoint)?.bornAt;
        all.delete(endpoint);
        onGone(endpoint);
        [...departed]
            .filter(([, { at }]) => clock.now() - at > DEPARTED_MS)
            .forEach(([name]) => departed.delete(name));
        if (bornAt !== undefined) {
            departed.set(endpoint, { bornAt, at: clock.now() });
        }
    };
    return { of, last: endpoint => all.get(endpoint), all: () => [...all], drop };
}
