import type { Sequence } from "./Sequence.js";
import type { StepCosts } from "./StepCosts.js";
import type { StepPlan } from "./StepPlan.js";

const US_PER_MS = 1_000;

type Share = { readonly left: number; readonly parts: readonly (readonly [string, number])[]; };

const byTurn = (a: Sequence, b: Sequence): number => a.priority - b.priority || a.order - b.order;

/**
 * Plans the next step of a batch. Every request whose prompt is computed gets one token; the others share a bounded number
 * of prompt tokens in their order, and the time that these take delays all.
 */
export function planStep(running: readonly Sequence[], costs: StepCosts): StepPlan {
    const decoding = running.filter(({ computedTokens, promptTokens }) => computedTokens >= promptTokens);
    const { parts } = running
        .filter(({ computedTokens, promptTokens }) => computedTokens < promptTokens)
        .toSorted(byTurn)
        .reduce<Share>(({ left, parts }, { id, computedTokens, promptTokens }) => {
            const tokens = Math.min(left, promptTokens - computedTokens);
            return { left: left - tokens, parts: tokens > 0 ? [...parts, [id, tokens] as const] : parts };
        }, { left: costs.prefillChunk, parts: [] });
    const prefillTokens = parts.reduce((sum, [, tokens]) => sum + tokens, 0);
    const prefillMs = prefillTokens * costs.prefillUsPerToken / US_PER_MS;
    const decodeMs = decoding.length > 0 ? costs.decodeMsPerToken : 0;
    return {
        prefill: new Map(parts),
        decode: new Set(decoding.map(({ id }) => id)),
        durationMs: prefillMs + decodeMs,
    };
}
