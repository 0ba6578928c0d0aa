/**
 * Role of a peer as seen by this VM: a relay of the same failure domain (`relay`); if this VM is itself a relay,
 * another VM of its failure domain (`leaf`) or a relay of another one (`remote-relay`); else a VM whose state comes
 * through relays only (`indirect`).
 */
export type VmRole = "relay" | "leaf" | "remote-relay" | "indirect";
