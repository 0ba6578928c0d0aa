/** Settings of a stand-in that can be changed while it runs, with `POST /control`. */
export type Switches<T> = {
    readonly current: () => T;
    /**
     * Changes any subset of the switches.
     *
     * @throws HttpError 400 if a switch is unknown or its value is not allowed
     */
    readonly update: (changes: unknown) => void;
};
