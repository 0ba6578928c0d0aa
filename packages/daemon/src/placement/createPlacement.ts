import type { DispatchId, Incarnation, Millis } from "@azureshunt/core";
import type { Candidate, EndpointEvent } from "@azureshunt/endpoint";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";
import type { placementMetrics } from "./placementMetrics.js";

/** Inputs of a placement. */
type PlacementInput = {
    readonly call: Call;
    readonly chosen: Candidate;
    readonly dispatchId: DispatchId;
    readonly url: string;
    readonly incarnation: Incarnation | undefined;
    readonly metrics: ReturnType<typeof placementMetrics>;
    readonly now: () => Millis;
    /** Called with the events of the try at the endpoint. */
    readonly onEvent: (event: EndpointEvent) => void;
};

/** Creates the placement of a call at the chosen endpoint, dispatched now. */
export function createPlacement(input: PlacementInput): Placement {
    const { call, chosen, dispatchId, url, incarnation, metrics, now, onEvent } = input;
    const { target } = call;
    const dispatchedAt = now();
    const heldPieces = chosen.fetch?.pieces ?? chosen.matchedPieces;
    const promptTokens = target.kind === "service" ? 0 : target.promptTokens;
    const expectedCached = target.kind === "service" ? 0 : heldPieces * target.pieceTokens;
    return {
        dispatchId,
        endpoint: chosen.endpoint,
        url,
        incarnation,
        estimate: chosen.estimate.total,
        started: (answering, cached) => {
            metrics.accepted(promptTokens, expectedCached, cached);
            const prefillTokens = cached === undefined ? undefined : promptTokens - cached;
            onEvent({ kind: "accepted", dispatchId, incarnation: answering, prefillTokens });
        },
        firstToken: () => {
            metrics.firstToken(chosen.estimate.total, now() - dispatchedAt);
            onEvent({ kind: "first-token", dispatchId });
        },
        end: outcome => onEvent({ kind: "ended", dispatchId, outcome }),
    };
}
