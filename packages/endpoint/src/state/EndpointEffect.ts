import type { Incarnation } from "@azureshunt/core";

/**
 * What an endpoint's event calls for. `begin-cache`: a new run began, so all cached entries of earlier ones are void.
 * `probe`: ask the endpoint for its state now. `share-speed`: tell other VMs
 * of an observation of its speed.
 */
export type EndpointEffect =
    | { readonly kind: "begin-cache"; readonly incarnation: Incarnation; }
    | { readonly kind: "probe"; }
    | { readonly kind: "share-speed"; readonly msPerToken: number; };
