import type { Millis } from "@azureshunt/core";

/** One request to one endpoint, ready to be sent. */
export type EndpointCall = {
    /** `host:port`. */
    readonly address: string;
    readonly method: string;
    readonly target: string;
    /** Names and values by turns, as they go out. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Longest time that a kept connection may have been idle. */
    readonly keptIdleMs: Millis;
    /** Time until the head of the answer, after which the try counts as silent unless `isAlive` says otherwise. */
    readonly headMs: Millis;
    /** Whether the endpoint shows life by other means, so that waiting on makes sense; never where left out. */
    readonly isAlive?: () => boolean;
};
