import type { StreamOrigin } from "@azureshunt/continuation";
import type { EndpointName, Millis } from "@azureshunt/core";

import { holdPlace } from "./holdPlace.js";
import { placeRequest } from "./placeRequest.js";
import type { ReservedPlace } from "./ReservedPlace.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

type PlaceSearch = {
    /** Endpoints that have refused the request, or may have run it. */
    readonly tried: ReadonlySet<EndpointName>;
    /** Those that may have run it; they are not asked at all. */
    readonly ranAt: ReadonlySet<EndpointName>;
    readonly origin: StreamOrigin | undefined;
    /** When the search ends. */
    readonly until: Millis;
};

/** Shortest time between two questions; engines that load weights are back within a second or two. */
const ASK_EVERY_MS: Millis = 100;

/**
 * Waits until an engine keeps a place for a stream that its caller reads and that no engine runs any more; resolves with
 * `undefined` if none does in time. The retry that the place takes has left the budget by then.
 *
 * New weights are ordered at several engines at once, and these refuse requests until they have loaded them. If the engine
 * of a stream fails meanwhile, all others refuse the stream within milliseconds, and its answer would be cut off. Its
 * caller cannot be told to come back, but would wait for the next event. Tries that are refused use up the budget, so
 * engines are asked for a place instead.
 */
export async function awaitPlace(
    parts: ServeParts,
    served: ServedRequest,
    { tried, ranAt, origin, until }: PlaceSearch,
): Promise<ReservedPlace | undefined> {
    const { clock, retryBudgets } = parts;
    const { service, signal } = served;
    if (parts.declaredState().configuration?.services.get(service)?.engine?.holdMs === undefined) {
        return undefined;
    }
    // If an engine that has refused the request were asked again at once, it might keep a place and refuse it once more.
    const asked = new Set(tried);
    while (!signal.aborted && clock.now() < until && !parts.quarantine.isQuarantined(served)) {
        const place = placeRequest(parts, served, new Set([...ranAt, ...asked]), origin, true);
        const held = place === undefined ? undefined : await holdPlace(parts, served, place);
        if (place === undefined) {
            asked.clear();
        }
        else {
            asked.add(place.entry.name);
        }
        if (place !== undefined && held !== undefined) {
            if (!signal.aborted && retryBudgets.reserve(service)) {
                const release = (): void => {
                    held.release();
                    retryBudgets.release(service);
                };
                return { place, hold: held.id, release };
            }
            held.release();
        }
        await new Promise(resolve => setTimeout(resolve, ASK_EVERY_MS * (1 + parts.random())));
    }
    return undefined;
}
