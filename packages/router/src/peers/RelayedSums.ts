import type { Beacon } from "./Beacon.js";

/** Sums over the VMs whose state a relay sends on. */
export type RelayedSums = Pick<Beacon, "relayedSpent" | "relayedLoad" | "relayedDemand">;
