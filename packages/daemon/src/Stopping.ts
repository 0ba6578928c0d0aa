/** A part of the daemon that can be stopped. */
export type Stopping = {
    /** Ends timers, connections and actors of the part at once. */
    readonly stop: () => void | Promise<void>;
};
