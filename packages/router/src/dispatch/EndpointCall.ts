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
    /** Longest time until the head of the answer; then the try counts as silent. */
    readonly headMs: Millis;
};
