import type { Clock } from "../common/Clock.js";
import { admitSequences } from "./admitSequences.js";
import type { Batch } from "./Batch.js";
import { finishStep } from "./finishStep.js";
import type { PieceCache } from "./PieceCache.js";
import { planStep } from "./planStep.js";
import type { Sequence } from "./Sequence.js";
import type { StepCosts } from "./StepCosts.js";
import type { StepPlan } from "./StepPlan.js";

/** Maximum delay of a late timer for which the following steps compensate. */
const MAX_CATCH_UP_MS = 200;

/** Callbacks for the progress of a request. */
type SequenceListener = {
    /** Called when the request has joined the batch; the sequence says how many tokens were cached. */
    readonly started: (sequence: Sequence) => void;
    readonly token: (position: number, last: boolean) => void;
};

/** Dependencies of the scheduler. */
type SchedulerContext = {
    readonly clock: Clock;
    readonly maxBatch: number;
    readonly costs: () => StepCosts;
    readonly frozen: () => boolean;
    readonly cache: {
        readonly current: () => PieceCache;
        readonly replace: (cache: PieceCache) => void;
        readonly store: (chain: readonly string[]) => void;
    };
    /**
     * Called after requests have joined the batch and before its step, which is when engines publish their gauges:
     * requests still waiting then did not fit. A request that arrives during a step is reported after that step.
     */
    readonly onScheduled: (batch: Batch) => void;
};

/** Runs requests in a shared batch, step by step. */
type Scheduler = {
    /** Adds a request; returns the function that cancels it. */
    readonly submit: (sequence: Sequence, listener: SequenceListener) => () => void;
    readonly batch: () => Batch;
    /** Continues after a freeze. */
    readonly resume: () => void;
};

/** Creates a scheduler with an empty batch. */
export function createScheduler(context: SchedulerContext): Scheduler {
    const { clock, cache } = context;
    const listeners = new Map<string, SequenceListener>();
    let batch: Batch = { running: [], waiting: [] };
    let isStepping = false;
    let stepEndsAt = 0;

    const admit = (): void => {
        const admission = admitSequences(batch, cache.current(), context.maxBatch, clock.now());
        batch = admission.batch;
        cache.replace(admission.cache);
        admission.admitted.forEach(sequence => listeners.get(sequence.id)?.started(sequence));
    };
    const finish = (plan: StepPlan): void => {
        isStepping = false;
        const { running, generated, chains } = finishStep(batch.running, plan);
        batch = { ...batch, running };
        chains.forEach(cache.store);
        generated.forEach(({ id, position, last }) => {
            const listener = listeners.get(id);
            if (last) {
                listeners.delete(id);
            }
            listener?.token(position, last);
        });
        step(stepEndsAt);
    };
    const step = (from: number): void => {
        if (isStepping || context.frozen()) {
            return;
        }
        admit();
        context.onScheduled(batch);
        if (batch.running.length === 0) {
            return;
        }
        isStepping = true;
        const plan = planStep(batch.running, context.costs());
        const now = clock.now();
        stepEndsAt = Math.max(from, now - MAX_CATCH_UP_MS) + plan.durationMs;
        clock.after(Math.max(stepEndsAt - now, 0), () => finish(plan));
    };
    const cancel = (id: string): void => {
        listeners.delete(id);
        batch = {
            running: batch.running.filter(sequence => sequence.id !== id),
            waiting: batch.waiting.filter(sequence => sequence.id !== id),
        };
    };
    const submit = (sequence: Sequence, listener: SequenceListener): () => void => {
        listeners.set(sequence.id, listener);
        batch = { ...batch, waiting: [...batch.waiting, sequence] };
        step(clock.now());
        return () => cancel(sequence.id);
    };
    return { submit, batch: () => batch, resume: () => step(clock.now()) };
}
