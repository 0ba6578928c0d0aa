import type { Sequence } from "./Sequence.js";
import type { StepCosts } from "./StepCosts.js";
import type { StepPlan } from "./StepPlan.js";

const US_PER_MS = 1_000;

type PrefillShares = { readonly remaining: number; readonly parts: readonly (readonly [string, number])[]; };

const byPriority = (a: Sequence, b: Sequence): number => a.priority - b.priority || a.order - b.order;

/**
 * Plans the next step of a batch. Every request whose prompt is computed generates one token. The others share a
 * limited number of prompt tokens in order of priority; computing these delays the tokens of all requests.
 */
export function planStep(running: readonly Sequence[], costs: StepCosts): StepPlan {
    const decoding = running.filter(({ computedTokens, promptTokens }) => computedTokens >= promptTokens);
    const { parts } = running
        .filter(({ computedTokens, promptTokens }) => computedTokens < promptTokens)
        .toSorted(byPriority)
        .reduce<PrefillShares>(({ remaining, parts }, { id, computedTokens, promptTokens }) => {
            const tokens = Math.min(remaining, promptTokens - computedTokens);
            return { remaining: remaining - tokens, parts: tokens > 0 ? [...parts, [id, tokens] as const] : parts };
        }, { remaining: costs.prefillChunk, parts: [] });
    const prefillTokens = parts.reduce((sum, [, tokens]) => sum + tokens, 0);
    const prefillMs = prefillTokens * costs.prefillUsPerToken / US_PER_MS;
    const decodeMs = decoding.length > 0 ? costs.decodeMsPerToken : 0;
    return {
        prefill: new Map(parts),
        decode: new Set(decoding.map(({ id }) => id)),
        durationMs: prefillMs + decodeMs,
    };
}
