import { holdPlace } from "./holdPlace.js";
import { placeRequest } from "./placeRequest.js";
import type { ReservedPlace } from "./ReservedPlace.js";
import { shouldMove } from "./shouldMove.js";
import type { TryParts } from "./TryParts.js";

/**
 * Reserves what a stream needs to leave its engine: a place that another engine keeps for it, and a retry; resolves with
 * `undefined` if it stays.
 *
 * If a stream left because another engine is up, and that one turned out to be full, its answer would be cut off although
 * its own engine would have finished it. What this VM knows of free slots is not enough either: all VMs see the same ones,
 * and an order makes all streams of an engine leave at once. Only the engine itself can keep a place.
 */
export async function reserveMove(tryParts: TryParts): Promise<ReservedPlace | undefined> {
    const { parts, served, place, progress, avoid } = tryParts;
    const { endpointTable, endpointLimits, retryBudgets } = parts;
    const { prompt } = served.caller;
    const target = prompt === undefined || parts.quarantine.isQuarantined(served)
        ? undefined
        : placeRequest(parts, served, new Set([...avoid, place.entry.name]), progress.origin, true);
    if (prompt === undefined || target === undefined) {
        return undefined;
    }
    const { candidate, entry, memoryTokens } = target;
    const isOpen = endpointTable.isUp(entry) && !endpointLimits.isLimited(entry);
    const isMoving = shouldMove({
        promptTokens: prompt.promptTokens,
        outputTokens: prompt.outputTokens,
        forwardedEvents: progress.forwardedEvents,
        budget: retryBudgets.of(served.service).balance,
        freeSlots: isOpen ? candidate.slots - candidate.running : 0,
        freeTokens: candidate.memorySize - candidate.memoryTokens - memoryTokens,
    });
    const held = isMoving ? await holdPlace(parts, served, target) : undefined;
    if (held === undefined) {
        return undefined;
    }
    if (!retryBudgets.reserve(served.service)) {
        held.release();
        return undefined;
    }
    return {
        place: target,
        hold: held.id,
        release: () => {
            held.release();
            retryBudgets.release(served.service);
        },
    };
}
