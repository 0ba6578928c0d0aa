import type { Millis, Step } from "@azureshunt/core";
import type { ActorSystemRef } from "nact";
import { dispatch, spawn, stop } from "nact";

/** An aggregate that runs as an actor. */
type Aggregate<State, Event> = {
    /** Hands an event to the aggregate; events are taken one at a time, in order. */
    readonly tell: (event: Event) => void;
    /** The state after the events taken so far. Immutable. */
    readonly state: () => State;
    readonly stop: () => void;
};

/** What `spawnAggregate` needs to run an aggregate. */
type AggregateParts<State, Event, Effect> = {
    readonly name: string;
    readonly initial: State;
    readonly now: () => Millis;
    /** The aggregate's rule; pure. */
    readonly reduce: (state: State, event: Event, now: Millis) => Step<State, Effect>;
    /** Does what the rule asks for; must not throw. `tell` brings results back as events. */
    readonly perform: (effect: Effect, tell: (event: Event) => void) => void;
};

/** Runs a pure aggregate as an actor of the given system, performing the effects of each event. */
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
