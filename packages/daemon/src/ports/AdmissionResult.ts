/**
 * Whether a request may run at the endpoint chosen for it. `request-busy`: it runs elsewhere, or a death that it may have
 * caused is being checked; `endpoint-busy`: another suspect runs at the endpoint.
 */
export type AdmissionResult = "admitted" | "request-busy" | "endpoint-busy";
