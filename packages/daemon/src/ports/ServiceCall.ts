import type { ServiceName } from "@azureshunt/core";

/** A call to a plain service, resolved against the current configuration. */
export type ServiceCall = {
    readonly kind: "service";
    readonly service: ServiceName;
    readonly method: string;
    /** Path and query of the request to the service. */
    readonly path: string;
    /** Whether the configuration allows this route to run more than once. */
    readonly repeatable: boolean;
    readonly idempotencyKey: string | undefined;
    readonly contentType: string | undefined;
    readonly body: Uint8Array;
};
