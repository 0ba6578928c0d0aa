/**
 * Whether a request may run more than once.
 *
 * - `idempotent`: may run more than once.
 * - `at-most-once`: runs once or not at all.
 * - `stream`: a stream of events; runs once or not at all.
 * - `resumable-stream`: a stream that another endpoint can continue after the last event that the caller received.
 */
export type RequestKind = "idempotent" | "at-most-once" | "stream" | "resumable-stream";
