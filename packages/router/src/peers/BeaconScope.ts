/**
 * Whose state a beacon contains: the sender's own, also that of its failure domain, or also that of all VMs. A referral
 * contains the sender's own state and names the relays; it answers a VM that took the sender for a relay.
 */
export type BeaconScope = "vm" | "domain" | "fleet" | "referral";
