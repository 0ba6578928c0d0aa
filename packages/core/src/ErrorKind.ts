/**
 * All error kinds. `answerOf` defines the answer to the caller for each of them; a kind that is missing there does not
 * compile.
 */
export type ErrorKind =
    // Invalid requests.
    | "bad-request"
    | "body-too-large"
    | "headers-too-large"
    | "headers-too-slow"
    | "unsupported-media-type"
    | "not-found"
    | "method-not-allowed"
    | "unknown-model"
    | "unknown-service"
    // Keys.
    | "missing-key"
    | "unknown-key"
    | "withdrawn-key"
    | "not-allowed"
    // Allowances.
    | "over-rate"
    | "over-burst"
    | "allowance-unreachable"
    // Endpoints.
    | "no-endpoint"
    | "overloaded"
    | "endpoints-limited"
    | "endpoints-paused"
    | "vm-overloaded"
    | "too-late"
    | "deadline-exceeded"
    | "endpoint-failed"
    | "stream-broken"
    | "stream-origin-unknown"
    | "stream-version-gone"
    | "answer-lost"
    | "request-crashes-endpoints"
    | "request-quarantined"
    // Requests that must not run twice.
    | "intent-running"
    | "intent-outcome-unknown"
    | "intent-key-reused"
    | "intent-window-lost"
    | "log-unavailable"
    // The daemon.
    | "no-configuration"
    | "configuration-too-old"
    | "memory-exhausted"
    | "shutting-down"
    | "caller-gone"
    | "internal";
