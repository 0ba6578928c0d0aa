import type { Millis } from "@azureshunt/core";

/** A program that has started, as its life cycle uses it. */
export type Application = {
    /** Reads the settings again, and applies those that can change while it runs. */
    readonly reload: () => void;
    /** Refuses new requests from now on, as not run. May be called more than once. */
    readonly refuse: () => void;
    /** Lets running requests finish, then stops all parts. */
    readonly drain: () => Promise<void>;
    /** Cuts off what still runs, so that nothing of it can pass for complete. */
    readonly cut: () => void;
    /** Time within which `drain` ends, by the settings in force. */
    readonly stopMs: () => Millis;
};
