/** Settings of a stand-in that change while it runs, through `POST /control`. */
export type Switches<T> = {
    readonly current: () => T;
    /**
     * Changes any subset of the switches.
     *
     * @throws HttpError 400 when a switch is unknown or its value not allowed
     */
    readonly update: (changes: unknown) => void;
};
