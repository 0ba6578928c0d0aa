import type { Sequence } from "./Sequence.js";
import type { StepPlan } from "./StepPlan.js";

/** One token that a step generated. */
type Generated = { readonly id: string; readonly position: number; readonly last: boolean; };

/** A batch after a step. */
type StepResult = {
    readonly running: readonly Sequence[];
    readonly generated: readonly Generated[];
    /** Requests whose prompts grew by whole pieces, each with its pieces computed so far. */
    readonly chains: readonly (readonly string[])[];
};

const wholePieces = (tokens: number, sequence: Sequence): number =>
    Math.min(Math.floor(tokens / sequence.pieceTokens), sequence.pieces.length);

/** The computation that ends a prompt gives its first token as well. */
const generates = (before: Sequence, plan: StepPlan): boolean =>
    plan.decode.has(before.id)
    || before.computedTokens + (plan.prefill.get(before.id) ?? 0) >= before.promptTokens;

/** Applies a planned step to the batch. Requests that left the batch since it was planned are passed over. */
export function finishStep(running: readonly Sequence[], plan: StepPlan): StepResult {
    const planned = running.filter(({ id }) => plan.prefill.has(id) || plan.decode.has(id));
    const generated = planned
        .filter(sequence => generates(sequence, plan))
        .map(({ id, position, endPosition }) => ({ id, position, last: position + 1 >= endPosition }));
    const ended = new Set(generated.filter(({ last }) => last).map(({ id }) => id));
    const grown = new Set(generated.map(({ id }) => id));
    const chains = planned
        .map(sequence => ({
            sequence,
            from: wholePieces(sequence.computedTokens, sequence),
            to: wholePieces(sequence.computedTokens + (plan.prefill.get(sequence.id) ?? 0), sequence),
        }))
        .filter(({ from, to }) => to > from)
        .map(({ sequence, to }) => sequence.pieces.slice(0, to));
    const next = running
        .filter(({ id }) => !ended.has(id))
        .map(sequence => ({
            ...sequence,
            computedTokens: sequence.computedTokens + (plan.prefill.get(sequence.id) ?? 0),
            position: sequence.position + (grown.has(sequence.id) ? 1 : 0),
        }));
    return { running: next, generated, chains };
}
