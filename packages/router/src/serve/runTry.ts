import { priorityOf } from "./priorityOf.js";
import { sendTry } from "./sendTry.js";
import type { TryParts } from "./TryParts.js";
import type { TryResult } from "./TryResult.js";

/** Minimum time that an endpoint has for its first activity before it counts as overdue. */
const MIN_EXPECTED_MS = 350;

/**
 * Runs one try of a request: counts it as running at its endpoint until it has ended, however it does.
 *
 * @throws Error if Node refuses to send the request, or by a fault of this program
 */
export async function runTry(tryParts: TryParts): Promise<TryResult> {
    const { parts, served, place } = tryParts;
    const inFlight = parts.endpointTable.beginRequest(place.entry.name, {
        missingTokens: place.missingTokens,
        memoryTokens: place.memoryTokens,
        expectedMs: Math.max(MIN_EXPECTED_MS, place.startMs + served.route.objectiveMs),
        predictedMs: place.startMs,
        priority: priorityOf(served.organisation, served.route),
    });
    try {
        return await sendTry(tryParts, inFlight);
    }
    catch (err) {
        inFlight.end("cancelled");
        throw err;
    }
}
