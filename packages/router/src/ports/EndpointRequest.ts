import type { EndpointName, Millis, OrganisationId } from "@azureshunt/core";

import type { CallerRequest } from "./CallerRequest.js";
import type { HoldId } from "./HoldId.js";

/** A request as sent to one endpoint. */
export type EndpointRequest = {
    readonly caller: CallerRequest;
    /** Only this endpoint may run the request, not another one that has since taken over its address. */
    readonly endpoint: EndpointName;
    readonly organisation: OrganisationId | undefined;
    /** Time left before the caller's deadline and the route's timeout. */
    readonly remainingMs: Millis;
    /** 0 is the most urgent. */
    readonly priority: number | undefined;
    /** Version of the weights that the endpoint must hold. */
    readonly weights: number | undefined;
    /** Only prompts with the same salt share cached prompt parts. */
    readonly cacheSalt: string | undefined;
    /** `host:port` of a cache store or engine from which to fetch cached prompt parts. */
    readonly fetchFrom: string | undefined;
    /** `host:port` of a cache store to which to save the prompt's parts. */
    readonly saveTo: string | undefined;
    /** Id of the event after which to resume the stream. */
    readonly resumeAfter: number | undefined;
    /** Id of the place that the endpoint keeps for this request; `undefined` if it keeps none. */
    readonly hold: HoldId | undefined;
    readonly bodyBytes: number;
};
