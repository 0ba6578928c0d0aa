/** What an aggregate makes of one event: its next state and the effects that its actor is to perform. */
export type Step<State, Effect> = {
    readonly state: State;
    readonly effects: readonly Effect[];
};
