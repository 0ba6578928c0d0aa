import type { EndpointName, Tokens } from "@azureshunt/core";

import { chainOf } from "../placement/chainOf.js";
import type { ChainPart } from "../placement/ChainPart.js";
import { choosePlace } from "../placement/choosePlace.js";
import { saltOf } from "./saltOf.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { TryPlace } from "./TryPlace.js";

const storeOf = (parts: ServeParts): string | undefined =>
    [...parts.knowledge().configuration?.services.values() ?? []]
        .map(service => service.cacheStore?.address)
        .find(address => address !== undefined);

/** Chooses where the next try of a request goes; undefined when nothing serves it now. */
export function placeRequest(
    parts: ServeParts,
    served: ServedRequest,
    avoid: ReadonlySet<EndpointName>,
): TryPlace | undefined {
    const { prompt } = served.caller;
    const now = parts.clock.now();
    const cacheStore = prompt === undefined ? undefined : storeOf(parts);
    const memoryTokens = prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens;
    const chainAt = (weights: number | undefined): readonly ChainPart[] =>
        prompt === undefined || weights === undefined
            ? []
            : chainOf(saltOf(weights, served.organisation), prompt.parts);
    const missingAt = (endpoint: EndpointName, weights: number | undefined): Tokens => {
        const chain = chainAt(weights);
        const stored = cacheStore === undefined ? 0 : parts.chains.heldTokens(cacheStore, chain, now);
        return (prompt?.promptTokens ?? 0) - Math.max(stored, parts.chains.heldTokens(endpoint, chain, now));
    };
    const found = parts.book.candidates({
        service: served.service,
        model: prompt?.model,
        memoryTokens,
        missingAt,
        avoid,
    });
    const place = choosePlace(found.map(({ candidate }) => candidate), now, parts.random);
    const chosen = found.find(({ candidate }) => candidate === place?.candidate);
    if (place === undefined || chosen === undefined) {
        return undefined;
    }
    const { entry, weights, candidate } = chosen;
    return {
        entry,
        weights,
        startMs: place.startMs,
        missingTokens: candidate.missingTokens,
        memoryTokens,
        salt: weights === undefined ? undefined : saltOf(weights, served.organisation),
        chain: chainAt(weights),
        cacheStore,
    };
}
