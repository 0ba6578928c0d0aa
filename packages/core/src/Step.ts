/** Result of applying an event to an aggregate: its next state and the effects for its actor to perform. */
export type Step<State, Effect> = {
    readonly state: State;
    readonly effects: readonly Effect[];
};
