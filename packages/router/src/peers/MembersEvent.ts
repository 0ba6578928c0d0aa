import type { Millis } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import type { ListedVm } from "./ListedVm.js";

/** An event that changes what this VM knows of its peers. */
export type MembersEvent =
    /** The VM list in the store was read. */
    | { readonly kind: "listed"; readonly vms: readonly ListedVm[]; }
    | { readonly kind: "beacon"; readonly beacon: Beacon; readonly address: string; }
    | { readonly kind: "tick"; }
    /** This process did not run for some time, while its monotonic clock went on. */
    | { readonly kind: "paused"; readonly ms: Millis; };
