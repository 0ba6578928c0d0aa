import type { Incarnation } from "@azureshunt/core";

/**
 * Effect of an event of an endpoint. `begin-cache`: a new incarnation started, so all entries of earlier ones in the
 * prefix index are invalid. `probe`: query the endpoint's state now. `share-speed`: send an observation of its prefill
 * speed to other VMs.
 */
export type EndpointEffect =
    | { readonly kind: "begin-cache"; readonly incarnation: Incarnation; }
    | { readonly kind: "probe"; }
    | { readonly kind: "share-speed"; readonly msPerToken: number; };
