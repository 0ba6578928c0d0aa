import type { OrganisationId } from "@azureshunt/core";

import type { WaitId } from "./WaitId.js";
import type { WaitRequest } from "./WaitRequest.js";

/** What changes a queue. `places` is this VM's share of the free capacity of the service. */
export type WaitEvent =
    | { readonly kind: "arrived"; readonly request: WaitRequest; }
    /** A request of this VM was sent to the service. */
    | { readonly kind: "sent"; readonly organisation: OrganisationId | undefined; }
    /** One that was sent has ended. */
    | { readonly kind: "ended"; readonly organisation: OrganisationId | undefined; readonly places: number; }
    /** The load of the endpoints has become known anew. */
    | { readonly kind: "load-known"; readonly places: number; }
    /** The time of `queueDueAt` has come. */
    | { readonly kind: "due"; readonly places: number; }
    /** The caller of a request has left, or its deadline has passed. */
    | { readonly kind: "cancelled"; readonly id: WaitId; }
    /** The VM shuts down. */
    | { readonly kind: "closed"; };
