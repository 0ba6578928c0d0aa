import type { Millis, Step } from "@azureshunt/core";
import type { ActorSystemRef } from "nact";
import { dispatch, spawn, stop } from "nact";

/** An aggregate that runs as an actor. */
type Aggregate<State, Event> = {
    /** Queues an event for the aggregate; events are handled one at a time, in order. */
    readonly tell: (event: Event) => void;
    /** Returns the immutable state after the events handled so far. */
    readonly state: () => State;
    readonly stop: () => void;
};

/** Parameters of `spawnAggregate`. */
type AggregateParts<State, Event, Effect> = {
    readonly name: string;
    readonly initial: State;
    readonly now: () => Millis;
    /** The aggregate's pure transition function. */
    readonly reduce: (state: State, event: Event, now: Millis) => Step<State, Effect>;
    /** Performs an effect that `reduce` returned. Must not throw; the callback queues results as events. */
    readonly perform: (effect: Effect, apply: (event: Event) => void) => void;
};

/** Runs a pure aggregate as an actor of the given system and performs the effects of each event. */
export function spawnAggregate<State, Event, Effect>(
    system: ActorSystemRef,
    parts: AggregateParts<State, Event, Effect>,
): Aggregate<State, Event> {
    const { name, initial, now, reduce, perform } = parts;
    const latest = { state: initial };
    const ref = spawn(
        system,
        (state: State, event: Event) => {
            const step = reduce(state, event, now());
            latest.state = step.state;
            step.effects.forEach(effect => perform(effect, tell));
            return step.state;
        },
        name,
        { initialState: initial, onCrash: (_event, _err, ctx) => ctx.resume },
    );
    const tell = (event: Event): void => dispatch(ref, event);
    return { tell, state: () => latest.state, stop: () => stop(ref) };
}
