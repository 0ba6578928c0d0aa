import type { StreamOrigin } from "@azureshunt/continuation";
import type { EndpointName } from "@azureshunt/core";

import type { Candidate } from "../placement/Candidate.js";
import { chainOf } from "../placement/chainOf.js";
import { choosePlaceOrTurn } from "../placement/choosePlaceOrTurn.js";
import { preferReachable } from "../placement/preferReachable.js";
import type { PrefixPart } from "../placement/PrefixPart.js";
import type { ReachPreference } from "../placement/ReachPreference.js";
import { sampleCandidates } from "../placement/sampleCandidates.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createPromptShares } from "./createPromptShares.js";
import { saltOf } from "./saltOf.js";
import { selectEndpoints } from "./selectEndpoints.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { TryPlace } from "./TryPlace.js";

const FIRST_TRY: ReachPreference = { isAfterUnreached: false, mayBeInBackoff: true };

/** Fraction of a request's objective by which a limited endpoint may be slower and still gets its turn. */
const TURN_TOLERANCE = 0.25;

/** A prompt as it is cached under one version of the weights. */
type VersionedPrompt = {
    readonly salt: string | undefined;
    readonly chain: readonly PrefixPart[];
    readonly shares: ReturnType<typeof createPromptShares>;
};

/**
 * Chooses the endpoint for the next try of a request; `undefined` if none can take it now.
 *
 * @param origin where the stream began, if it is one that goes on
 * @param isPlacedAgain whether the request has been placed since an endpoint was last reached for it, and has gathered
 * its part of a turn
 */
export function placeRequest(
    parts: ServeParts,
    served: ServedRequest,
    avoid: ReadonlySet<EndpointName>,
    origin: StreamOrigin | undefined,
    isPlacedAgain = false,
    reachPreference = FIRST_TRY,
): TryPlace | undefined {
    const { prompt } = served.caller;
    const saltFor = (weights: number): string =>
        saltOf({
            weights,
            organisation: served.organisation?.id,
            declaredState: parts.declaredState(),
            maxAgeMs: parts.bounds().maxAgeForKeysMs,
        }, parts.clock.now());
    const promptByWeights = new Map<number | undefined, VersionedPrompt>();
    const promptUnder = (weights: number | undefined, peers: () => readonly EndpointEntry[]): VersionedPrompt => {
        const known = promptByWeights.get(weights);
        if (known !== undefined) {
            return known;
        }
        const salt = weights === undefined ? undefined : saltFor(weights);
        const chain = prompt === undefined || salt === undefined ? [] : chainOf(salt, prompt);
        const shares = createPromptShares(parts, prompt?.promptTokens ?? 0, chain, chain.length === 0 ? [] : peers());
        const versioned = { salt, chain, shares };
        promptByWeights.set(weights, versioned);
        return versioned;
    };
    const pool = { service: served.service, model: prompt?.model };
    const select = selectEndpoints(parts, served, origin);
    const withPerformance = (candidate: Candidate): Candidate =>
        parts.endpointTable.withPerformance(candidate, prompt?.model);
    const chooseFrom = (hasRoom: (entry: EndpointEntry) => boolean) => {
        const reachable = parts.endpointTable.candidates({
            ...pool,
            promptAt: (entry, weights, peers) =>
                promptUnder(weights, peers).shares.shareOf(entry.name, entry.failureDomain),
            select: entries =>
                (select?.(entries, hasRoom) ?? entries).filter(entry =>
                    hasRoom(entry) && !parts.unreadBodies.isSlowReader(entry)
                ),
            avoid,
        });
        const selected = parts.endpointLimits.select(
            pool,
            parts.brittleServices.select(served.service, parts.availability.select(reachable)),
            isPlacedAgain,
        );
        const available = [...selected.unlimited, ...selected.turns];
        const placeable = preferReachable(available, parts.clock.now(), reachPreference);
        const preferred = placeable === available ? undefined : new Set(placeable);
        const [unlimited, turns] = preferred === undefined
            ? [selected.unlimited, selected.turns]
            : [
                selected.unlimited.filter(each => preferred.has(each)),
                selected.turns.filter(each => preferred.has(each)),
            ];
        const place = choosePlaceOrTurn(
            {
                unlimited: sampleCandidates(
                    unlimited.map(({ candidate }) => candidate),
                    parts.placingVms(),
                    parts.random,
                ).map(withPerformance),
                turns: turns.map(({ candidate }) => withPerformance(candidate)),
                toleranceMs: served.route.objectiveMs * TURN_TOLERANCE,
            },
            parts.clock.now(),
            parts.random,
        );
        const chosen = placeable.find(({ entry }) => entry.name === place?.candidate.name);
        return place === undefined || chosen === undefined
            ? undefined
            : { ...chosen, place, candidateCount: placeable.length };
    };
    // A request that was to try a new version whose endpoints are limited, or want a pause, goes to the old one. It has
    // gathered its part of a turn at limited endpoints by then, so these are left out.
    const hasRoom = (entry: EndpointEntry): boolean =>
        !parts.endpointLimits.isLimited(entry) && !parts.availability.isPaused(entry);
    const chosen = chooseFrom(() => true) ?? (
        parts.endpointTable.servingEntries(served.service).every(hasRoom) ? undefined : chooseFrom(hasRoom)
    );
    if (!isPlacedAgain) {
        parts.endpointLimits.recordPlaced(pool);
    }
    if (chosen === undefined) {
        return undefined;
    }
    const { entry, weights, place, candidateCount } = chosen;
    const { candidate } = place;
    const { salt, chain, shares } = promptUnder(weights, () => []);
    return {
        entry,
        weights,
        queueMs: place.queueMs,
        startMs: place.startMs,
        usualMs: place.usualMs,
        candidate,
        candidateCount,
        running: candidate.running,
        slots: candidate.slots,
        missingTokens: candidate.missingTokens,
        memoryTokens: prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens,
        salt,
        sharedTokens: chain.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0),
        ownTokens: chain.at(-1)?.tokens ?? 0,
        source: shares.shareOf(entry.name, entry.failureDomain).source,
        store: shares.store,
        storedTokens: shares.storedTokens,
    };
}
