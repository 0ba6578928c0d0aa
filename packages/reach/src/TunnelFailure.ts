/**
 * Why a peer opened no tunnel: `endpoint-refused` and `endpoint-silent` are what it saw of the endpoint; `peer` means that
 * the peer itself could not be reached, is cut off as well, or does not open tunnels.
 */
export type TunnelFailure = "endpoint-refused" | "endpoint-silent" | "peer";
