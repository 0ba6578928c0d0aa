import type { SuspectRows } from "@azureshunt/quarantine";

import type { Beacon } from "./Beacon.js";

/**
 * What a beacon contains of its sender's own state, apart from its identity, as far as it is the same for all
 * receivers.
 */
export type LocalState = Pick<
    Beacon,
    | "revision"
    | "confirmedMs"
    | "weights"
    | "spent"
    | "load"
    | "demand"
    | "engineVersions"
    | "lease"
    | "limits"
    | "availability"
    | keyof SuspectRows
    | "rollouts"
    | "registry"
    | "hasStore"
>;
