import type { VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";

/** What is learnt about other VMs. */
export type MembersEvent =
    /** Names and addresses that VMs wrote into the store. */
    | { readonly kind: "listed"; readonly members: readonly (readonly [VmId, string])[]; }
    | { readonly kind: "beacon"; readonly beacon: Beacon; readonly address: string; }
    | { readonly kind: "tick"; };
