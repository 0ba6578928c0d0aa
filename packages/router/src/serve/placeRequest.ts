import type { EndpointName } from "@azureshunt/core";

import { chainOf } from "../placement/chainOf.js";
import type { ChainPart } from "../placement/ChainPart.js";
import { choosePlace } from "../placement/choosePlace.js";
import { createPromptShares } from "./createPromptShares.js";
import { saltOf } from "./saltOf.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { TryPlace } from "./TryPlace.js";

/** Chooses where the next try of a request goes; undefined when nothing serves it now. */
export function placeRequest(
    parts: ServeParts,
    served: ServedRequest,
    avoid: ReadonlySet<EndpointName>,
): TryPlace | undefined {
    const { prompt } = served.caller;
    const shares = createPromptShares(parts, prompt?.promptTokens ?? 0);
    const memoryTokens = prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens;
    const saltAt = (weights: number | undefined): string | undefined =>
        weights === undefined ? undefined : saltOf(weights, served.organisation);
    const chains = new Map<number | undefined, readonly ChainPart[]>();
    const chainAt = (weights: number | undefined): readonly ChainPart[] => {
        const salt = saltAt(weights);
        const chain = chains.get(weights) ??
            (prompt === undefined || salt === undefined ? [] : chainOf(salt, prompt.parts));
        chains.set(weights, chain);
        return chain;
    };
    const found = parts.book.candidates({
        service: served.service,
        model: prompt?.model,
        memoryTokens,
        promptAt: (endpoint, weights) => shares.at(endpoint, chainAt(weights)),
        avoid,
    });
    const place = choosePlace(found.map(({ candidate }) => candidate), parts.clock.now(), parts.random);
    const chosen = found.find(({ candidate }) => candidate === place?.candidate);
    if (place === undefined || chosen === undefined) {
        return undefined;
    }
    const { entry, weights, candidate } = chosen;
    const chain = chainAt(weights);
    return {
        entry,
        weights,
        startMs: place.startMs,
        running: candidate.running,
        missingTokens: candidate.missingTokens,
        memoryTokens,
        salt: saltAt(weights),
        chain,
        source: shares.at(entry.name, chain).source,
        cacheStore: prompt === undefined ? undefined : shares.store,
    };
}
