import type { Millis, Step } from "@azureshunt/core";

/** What `runAggregate` needs. */
type AggregateParts<State, Event, Effect> = {
    readonly initial: State;
    readonly now: () => Millis;
    /** The aggregate's rule; pure. */
    readonly reduce: (state: State, event: Event, now: Millis) => Step<State, Effect>;
    /** Does what the rule asks for; must not throw. What takes time is handed to an actor. */
    readonly perform: (effect: Effect) => void;
};

/** An aggregate that takes events at once. */
type RunningAggregate<State, Event> = {
    readonly tell: (event: Event) => void;
    readonly state: () => State;
};

/**
 * Runs a pure aggregate in place: `tell` returns after the effects were begun. For aggregates that a request has to wait
 * for, where the way through an actor's mailbox would cost more than the decision.
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
