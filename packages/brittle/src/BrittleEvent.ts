import type { EndpointName } from "@azureshunt/core";

/** Event that changes what a VM knows of brittle endpoints. */
export type BrittleEvent =
    /** An endpoint said that it bears this many refusals in a second. */
    | { readonly kind: "announced"; readonly maxRefusals: number; }
    /** This VM saw the load of an endpoint: requests there of all VMs. */
    | { readonly kind: "load"; readonly endpoint: EndpointName; readonly running: number; readonly slots: number; }
    /** A request was sent to an endpoint that has no free slot as far as this VM knows. */
    | { readonly kind: "risky-try"; readonly endpoint: EndpointName; }
    /** An endpoint refused a request of this VM, one of `vms` that place requests. `random` is uniform in [0, 1). */
    | { readonly kind: "refused"; readonly endpoint: EndpointName; readonly vms: number; readonly random: number; };
