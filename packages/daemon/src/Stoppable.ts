/** A part of the daemon that can be stopped. */
export type Stoppable = {
    /** Ends the part's timers, connections and actors immediately. */
    readonly stop: () => void | Promise<void>;
};
