import type { EndpointName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { Dealings } from "./Dealings.js";
import { soundHealth } from "./soundHealth.js";

/** This VM's dealings with all endpoints. */
type DealingsKeeper = {
    /** The dealings with the run of an endpoint that its entry names; new ones where that run is another than before. */
    readonly of: (entry: EndpointEntry) => Dealings;
    /** The dealings with whatever run was last known; undefined where there were none. */
    readonly last: (endpoint: EndpointName) => Dealings | undefined;
    readonly all: () => readonly (readonly [EndpointName, Dealings])[];
    readonly drop: (endpoint: EndpointName) => void;
};

/**
 * Keeps dealings by endpoint.
 *
 * @param onGone told of an endpoint that has left or begun another run: what it held is gone
 */
export function createDealings(onGone: (endpoint: EndpointName) => void): DealingsKeeper {
    const all = new Map<EndpointName, Dealings>();
    const of: DealingsKeeper["of"] = entry => {
        const known = all.get(entry.name);
        if (known?.bornAt === entry.bornAt) {
            return known;
        }
        if (known !== undefined) {
            onGone(entry.name);
        }
        const made: Dealings = {
            bornAt: entry.bornAt,
            health: soundHealth,
            inFlight: [],
            lastSignAt: -Infinity,
            seenVersion: 0,
            seenVersionAt: -Infinity,
            seenOrders: 0,
            order: undefined,
        };
        all.set(entry.name, made);
        return made;
    };
    const drop: DealingsKeeper["drop"] = endpoint => {
        all.delete(endpoint);
        onGone(endpoint);
    };
    return { of, last: endpoint => all.get(endpoint), all: () => [...all], drop };
}
