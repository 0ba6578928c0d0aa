import type { ServiceName } from "@azureshunt/core";

/** What a call to a plain service asks for. */
export type ServiceCall = {
    readonly kind: "service";
    readonly service: ServiceName;
    readonly method: string;
    /** Path and query at the service. */
    readonly path: string;
    /** Whether the configuration allows this route to run more than once. */
    readonly repeatable: boolean;
    readonly idempotencyKey: string | undefined;
    readonly contentType: string | undefined;
    readonly body: Uint8Array;
};
