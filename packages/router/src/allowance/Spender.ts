import type { FailureDomain, VmId } from "@azureshunt/core";

/**
 * Whose spending one counter holds: a VM's, that of a failure domain's VMs whose beacons come through relays only, or
 * that of all such VMs (`fleet`).
 */
export type Spender = VmId | `domain ${FailureDomain}` | "fleet";
