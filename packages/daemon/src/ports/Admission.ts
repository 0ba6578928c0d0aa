/**
 * Whether a request may run at the endpoint chosen for it. `request-busy`: it runs elsewhere, or is being judged;
 * `endpoint-busy`: another suspect is there.
 */
export type Admission = "admitted" | "request-busy" | "endpoint-busy";
