import type { EndpointName } from "@azureshunt/core";

import { chainOf } from "../placement/chainOf.js";
import type { ChainPart } from "../placement/ChainPart.js";
import { choosePlace } from "../placement/choosePlace.js";
import { sampleCandidates } from "../placement/sampleCandidates.js";
import { createPromptShares } from "./createPromptShares.js";
import { saltOf } from "./saltOf.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { TryPlace } from "./TryPlace.js";

/** The prompt under one version of the weights. */
type PromptView = {
    readonly salt: string | undefined;
    readonly chain: readonly ChainPart[];
    readonly shares: ReturnType<typeof createPromptShares>;
};

/** Chooses where the next try of a request goes; undefined when nothing serves it now. */
export function placeRequest(
    parts: ServeParts,
    served: ServedRequest,
    avoid: ReadonlySet<EndpointName>,
): TryPlace | undefined {
    const { prompt } = served.caller;
    const views = new Map<number | undefined, PromptView>();
    const viewAt = (weights: number | undefined): PromptView => {
        const known = views.get(weights);
        if (known !== undefined) {
            return known;
        }
        const salt = weights === undefined ? undefined : saltOf(weights, served.organisation);
        const chain = prompt === undefined || salt === undefined ? [] : chainOf(salt, prompt.parts);
        const shares = createPromptShares(parts, prompt?.promptTokens ?? 0, chain);
        const view = { salt, chain, shares };
        views.set(weights, view);
        return view;
    };
    const found = parts.book.candidates({
        service: served.service,
        model: prompt?.model,
        promptAt: (entry, weights) => viewAt(weights).shares.at(entry.name, entry.failureDomain),
        avoid,
    });
    const drawn = sampleCandidates(found.map(({ candidate }) => candidate), parts.choosers(), parts.random);
    const place = choosePlace(drawn, parts.clock.now(), parts.random);
    const chosen = found.find(({ candidate }) => candidate === place?.candidate);
    if (place === undefined || chosen === undefined) {
        return undefined;
    }
    const { entry, weights, candidate } = chosen;
    const { salt, chain, shares } = viewAt(weights);
    return {
        entry,
        weights,
        queueMs: place.queueMs,
        startMs: place.startMs,
        candidates: found.length,
        running: candidate.running,
        missingTokens: candidate.missingTokens,
        memoryTokens: prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens,
        salt,
        chain,
        source: shares.at(entry.name, entry.failureDomain).source,
        storedTokens: shares.stored,
    };
}
