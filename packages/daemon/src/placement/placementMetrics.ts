import type { ErrorKind, Millis } from "@azureshunt/core";

import type { Metrics } from "../ports/Metrics.js";

/** Counters and histograms of the choice of endpoints. */
type PlacementMetrics = {
    readonly refused: (kind: ErrorKind) => void;
    readonly placed: (waitedMs: Millis, choiceMs: Millis, estimate: Millis) => void;
    /** The head of an answer has come, with the number of cached prompt tokens that the engine reports, if it does. */
    readonly accepted: (promptTokens: number, expectedCached: number, cached: number | undefined) => void;
    readonly firstToken: (estimate: Millis, observed: Millis) => void;
    /** An engine fetched cached pieces from another one. */
    readonly fetched: (pieces: number, expected: number, ms: Millis) => void;
    readonly cacheEvent: (outcome: string) => void;
    readonly incarnationChanged: () => void;
};

/** Creates the metrics of the choice of endpoints. */
export function placementMetrics(metrics: Metrics): PlacementMetrics {
    const { count, record } = metrics;
    return {
        refused: kind =>
            count("azureshunt_placement_refusals_total", "Requests refused for want of an endpoint, by reason.", {
                kind,
            }),
        placed: (waitedMs, choiceMs, estimate) => {
            record("azureshunt_placement_queue_ms", "Milliseconds that requests waited for an endpoint.", waitedMs);
            record("azureshunt_placement_choice_ms", "Milliseconds that choosing an endpoint took.", choiceMs);
            record("azureshunt_first_token_estimate_ms", "Estimated milliseconds to the first token.", estimate);
        },
        accepted: (promptTokens, expectedCached, cached) => {
            count("azureshunt_prompt_tokens_total", "Tokens of prompts sent to engines.", {}, promptTokens);
            count("azureshunt_cached_tokens_expected_total", "Prompt tokens expected in caches.", {}, expectedCached);
            count("azureshunt_cached_tokens_total", "Prompt tokens that engines found cached.", {}, cached ?? 0);
        },
        firstToken: (estimate, observed) => {
            record("azureshunt_first_token_ms", "Milliseconds from dispatch to the first token.", observed);
            record(
                "azureshunt_first_token_estimate_error_ms",
                "Difference of estimated and observed milliseconds to the first token.",
                Math.abs(estimate - observed),
            );
        },
        fetched: (pieces, expected, ms) => {
            count("azureshunt_pieces_fetched_total", "Cached pieces that engines fetched from others.", {}, pieces);
            count("azureshunt_pieces_not_fetched_total", "Pieces that a fetch did not bring.", {}, expected - pieces);
            record("azureshunt_fetch_ms", "Milliseconds that a fetch of cached pieces took.", ms);
        },
        cacheEvent: outcome =>
            count("azureshunt_cache_events_total", "Cache events of engines, by what became of them.", { outcome }),
        incarnationChanged: () => count("azureshunt_endpoint_runs_total", "Runs of endpoints that were seen to begin."),
    };
}
