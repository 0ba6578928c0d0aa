import type { Clock, Millis, Refusal } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";
import type { Either } from "purify-ts";

type WaitParts = {
    readonly clock: Pick<Clock, "now">;
    /** Calls a function after a delay. */
    readonly schedule?: (delayMs: Millis, run: () => void) => void;
};

/** Lets requests wait after a pause of the process until its facts are fresh again. */
type FactsWait = {
    /** To be called after each pause. */
    readonly recordPause: () => void;
    /** To be called whenever the configuration has been confirmed. */
    readonly recordConfirmed: () => void;
    /**
     * Repeats a decision each time that the configuration is confirmed, while a pause is the reason for which it is too old.
     *
     * @param deadline when the request ends; one that ends before the facts are due does not wait
     */
    readonly decide: <Result>(
        decision: () => Either<Refusal, Result>,
        deadline: Millis,
    ) => Either<Refusal, Result> | Promise<Either<Refusal, Result>>;
};

/** Time after a pause in which a VM whose links work learns again what is in force: by the store, or by peers. */
const MAX_WAIT_MS: Millis = 500;

/**
 * Creates the wait for facts. All requests wait until the same moment at the latest, however many there are, and what they hold
 * is counted by the byte budget. A VM that is cut off refuses them then.
 */
export function createFactsWait({ clock, schedule = startTimeout }: WaitParts): FactsWait {
    const state = { until: -Infinity as Millis, isPaused: false };
    const waiting = new Set<() => void>();
    const wake = (): void => {
        const woken = [...waiting];
        waiting.clear();
        woken.forEach(resume => resume());
    };
    /** Further pauses must not make a request wait for longer. */
    const decideBy = <Result>(
        decision: () => Either<Refusal, Result>,
        until: Millis,
    ): Either<Refusal, Result> | Promise<Either<Refusal, Result>> => {
        const decided = decision();
        const isOutdated = decided.swap().map(({ kind }) => kind === "configuration-too-old").orDefault(false);
        return isOutdated && clock.now() < until && state.isPaused
            ? new Promise<void>(resolve => waiting.add(resolve)).then(() => decideBy(decision, until))
            : decided;
    };
    return {
        recordPause: () => {
            const until = clock.now() + MAX_WAIT_MS;
            state.until = until;
            state.isPaused = true;
            schedule(MAX_WAIT_MS, () => {
                // A timer may fire a fraction of a millisecond early, so the time is not compared.
                state.isPaused &&= state.until !== until;
                wake();
            });
        },
        recordConfirmed: wake,
        decide: (decision, deadline) => decideBy(decision, deadline > state.until ? state.until : -Infinity),
    };
}
