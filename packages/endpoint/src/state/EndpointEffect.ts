import type { Incarnation } from "@azureshunt/core";

/**
 * What an endpoint's event calls for. `begin-cache`: a new run began, so all cached entries of earlier ones are void.
 * `probe`: ask the endpoint for its state now.
 */
export type EndpointEffect =
    | { readonly kind: "begin-cache"; readonly incarnation: Incarnation; }
    | { readonly kind: "probe"; };
