import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

/** Asks an engine to keep a slot and memory for a request that is to come. */
export type HoldRequest = {
    /** Only this endpoint may keep it, not another one that has since taken over its address. */
    readonly endpoint: EndpointName;
    readonly tokens: Tokens;
    /** How long the place is kept if no request takes it. */
    readonly ttlMs: Millis;
};
