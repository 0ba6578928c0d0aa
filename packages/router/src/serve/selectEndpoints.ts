import type { StreamOrigin } from "@azureshunt/continuation";
import { mayContinueAt } from "@azureshunt/continuation";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { isRepeatable } from "./isRepeatable.js";
import { isStream } from "./isStream.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

type Select = (
    entries: readonly EndpointEntry[],
    hasRoom?: (entry: EndpointEntry) => boolean,
) => readonly EndpointEntry[];

/**
 * Returns a function that selects the endpoints of a service that may get a request, by their software versions; in a
 * rollout those of the new version only if they have room.
 *
 * @param origin where the stream began, if it is one that goes on
 */
export function selectEndpoints(
    { rollouts, streams, endpointTable }: ServeParts,
    { service, route }: ServedRequest,
    origin: StreamOrigin | undefined,
): Select | undefined {
    if (origin !== undefined) {
        return entries => rollouts.continuableAt(service, entries).filter(entry => mayContinueAt(origin, entry));
    }
    const selectByRollout = rollouts.selectorFor(service, isRepeatable(route.kind));
    if (!isStream(route.kind)) {
        return selectByRollout;
    }
    return (entries, hasRoom) => {
        const known = streams.selectForNew(service, entries, endpointTable.isUp);
        return selectByRollout?.(known, hasRoom) ?? known;
    };
}
