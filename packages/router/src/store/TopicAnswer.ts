import type { Millis } from "@azureshunt/core";

import type { StorePage } from "../ports/StorePage.js";

/** A relay's copy of a topic's records, for the VMs of its failure domain. */
export type TopicAnswer = StorePage & {
    /** Whether these are the newest records of all keys. */
    readonly isWhole: boolean;
    /** Upper bound on the time since the relay's copy was current in the store. */
    readonly ageMs: Millis;
    /**
     * The same since the relay itself read the store. Longer than `ageMs` if peers have confirmed the copy since, by a
     * digest that leaves out part of it. `Infinity` if the relay does not say.
     */
    readonly readAgeMs: Millis;
};
