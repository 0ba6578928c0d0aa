import type { Millis, Step } from "@azureshunt/core";

/** Parameters of `runAggregate`. */
type AggregateParts<State, Event, Effect> = {
    readonly initial: State;
    readonly now: () => Millis;
    /** The aggregate's pure transition function. */
    readonly reduce: (state: State, event: Event, now: Millis) => Step<State, Effect>;
    /** Performs an effect that `reduce` returned. Must not throw; slow work is handed to an actor. */
    readonly perform: (effect: Effect) => void;
};

/** An aggregate that handles events synchronously. */
type RunningAggregate<State, Event> = {
    readonly tell: (event: Event) => void;
    readonly state: () => State;
};

/**
 * Runs a pure aggregate synchronously: when the call that applies an event returns, the effects have been started. For
 * aggregates that requests wait for, where passing through an actor's mailbox would take longer than the decision.
 */
export function runAggregate<State, Event, Effect>(
    parts: AggregateParts<State, Event, Effect>,
): RunningAggregate<State, Event> {
    const latest = { state: parts.initial };
    const tell = (event: Event): void => {
        const step = parts.reduce(latest.state, event, parts.now());
        latest.state = step.state;
        step.effects.forEach(parts.perform);
    };
    return { tell, state: () => latest.state };
}
