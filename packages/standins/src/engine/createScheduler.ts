import type { Clock } from "../common/Clock.js";
import { admitSequences } from "./admitSequences.js";
import type { Batch } from "./Batch.js";
import { finishStep } from "./finishStep.js";
import type { PieceCache } from "./PieceCache.js";
import { planStep } from "./planStep.js";
import type { Sequence } from "./Sequence.js";
import type { StepCosts } from "./StepCosts.js";
import type { StepPlan } from "./StepPlan.js";

/** Longest time by which a late timer's steps are made up for. */
const CATCH_UP_MS = 200;

/** What hears of a request's progress. */
type SequenceListener = {
    /** The request joined the batch; the sequence tells what was cached. */
    readonly started: (sequence: Sequence) => void;
    readonly token: (position: number, last: boolean) => void;
};

/** What the scheduler needs. */
type SchedulerContext = {
    readonly clock: Clock;
    readonly maxBatch: number;
    readonly costs: () => StepCosts;
    readonly frozen: () => boolean;
    readonly cache: {
        readonly current: () => PieceCache;
        readonly touched: (cache: PieceCache) => void;
        readonly store: (chain: readonly string[]) => void;
    };
    /**
     * Called after requests joined the batch and before its step, as engines publish their gauges: what waits then did
     * not fit. A request that comes during a step is not told of until that step is over.
     */
    readonly scheduled: (batch: Batch) => void;
};

/** Runs requests in a shared batch, step by step. */
type Scheduler = {
    /** Takes a request in; returns the function that cancels it. */
    readonly submit: (sequence: Sequence, listener: SequenceListener) => () => void;
    readonly batch: () => Batch;
    /** Goes on after a freeze. */
    readonly resume: () => void;
};

/** Creates a scheduler with an empty batch. */
export function createScheduler(context: SchedulerContext): Scheduler {
    const { clock, cache } = context;
    const listeners = new Map<string, SequenceListener>();
    let batch: Batch = { running: [], waiting: [] };
    let stepping = false;
    let stepEnd = 0;

    const admit = (): void => {
        const admission = admitSequences(batch, cache.current(), context.maxBatch, clock.now());
        batch = admission.batch;
        cache.touched(admission.cache);
        admission.admitted.forEach(sequence => listeners.get(sequence.id)?.started(sequence));
    };
    const finish = (plan: StepPlan): void => {
        stepping = false;
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
        step(stepEnd);
    };
    const step = (from: number): void => {
        if (stepping || context.frozen()) {
            return;
        }
        admit();
        context.scheduled(batch);
        if (batch.running.length === 0) {
            return;
        }
        stepping = true;
        const plan = planStep(batch.running, context.costs());
        const now = clock.now();
        stepEnd = Math.max(from, now - CATCH_UP_MS) + plan.durationMs;
        clock.after(Math.max(stepEnd - now, 0), () => finish(plan));
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
