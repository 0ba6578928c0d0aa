import type { EndpointName, Millis, OrganisationId } from "@azureshunt/core";

import type { CallerRequest } from "./CallerRequest.js";

/** A request as it goes to one endpoint. */
export type EndpointRequest = {
    readonly caller: CallerRequest;
    /** Only this endpoint may run it, not another one that has got its address. */
    readonly endpoint: EndpointName;
    readonly organisation: OrganisationId | undefined;
    /** What is left of the caller's and the route's time. */
    readonly remainingMs: Millis;
    /** 0 is the most urgent. */
    readonly priority: number | undefined;
    /** The weights that the endpoint must hold. */
    readonly weights: number | undefined;
    /** Only prompts with the same salt share cached parts. */
    readonly cacheSalt: string | undefined;
    /** `host:port` of a store or engine to fetch cached parts from. */
    readonly fetchFrom: string | undefined;
    /** `host:port` of a store to save the prompt's parts to. */
    readonly saveTo: string | undefined;
    /** Go on after this event. */
    readonly resumeAfter: number | undefined;
    readonly bodyBytes: number;
};
