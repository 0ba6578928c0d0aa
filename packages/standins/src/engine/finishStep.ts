import type { Sequence } from "./Sequence.js";
import type { StepPlan } from "./StepPlan.js";

/** One token that a step generated. */
type Generated = { readonly id: string; readonly position: number; readonly last: boolean; };

/** Result of a step. */
type StepResult = {
    readonly running: readonly Sequence[];
    readonly generated: readonly Generated[];
    /** For each request whose prompt advanced by complete pieces: all its pieces computed so far. */
    readonly chains: readonly (readonly string[])[];
};

const completePieces = (tokens: number, sequence: Sequence): number =>
    Math.min(Math.floor(tokens / sequence.pieceTokens), sequence.pieces.length);

/** The step that completes a prompt also generates the first token. */
const generates = (before: Sequence, plan: StepPlan): boolean =>
    plan.decode.has(before.id)
    || before.computedTokens + (plan.prefill.get(before.id) ?? 0) >= before.promptTokens;

/** Applies a planned step to the batch. Requests that have left the batch since the plan was made are ignored. */
export function finishStep(running: readonly Sequence[], plan: StepPlan): StepResult {
    const planned = running.filter(({ id }) => plan.prefill.has(id) || plan.decode.has(id));
    const generated = planned
        .filter(sequence => generates(sequence, plan))
        .map(({ id, position, endPosition }) => ({ id, position, last: position + 1 >= endPosition }));
    const ended = new Set(generated.filter(({ last }) => last).map(({ id }) => id));
    const advanced = new Set(generated.map(({ id }) => id));
    const chains = planned
        .map(sequence => ({
            sequence,
            from: completePieces(sequence.computedTokens, sequence),
            to: completePieces(sequence.computedTokens + (plan.prefill.get(sequence.id) ?? 0), sequence),
        }))
        .filter(({ from, to }) => to > from)
        .map(({ sequence, to }) => sequence.pieces.slice(0, to));
    const next = running
        .filter(({ id }) => !ended.has(id))
        .map(sequence => ({
            ...sequence,
            computedTokens: sequence.computedTokens + (plan.prefill.get(sequence.id) ?? 0),
            position: sequence.position + (advanced.has(sequence.id) ? 1 : 0),
        }));
    return { running: next, generated, chains };
}
