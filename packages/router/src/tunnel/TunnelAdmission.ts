/**
 * Whether a VM opens a connection to an endpoint for a peer: it tries to, or says at once that it cannot help
 * (`unavailable`) or that the endpoint does not answer (`silent`).
 */
export type TunnelAdmission = "try" | "unavailable" | "silent";
