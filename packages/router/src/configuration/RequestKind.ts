/**
 * What may be done twice.
 *
 * - `idempotent`: may run more than once.
 * - `at-most-once`: runs once or not at all.
 * - `stream`: a stream of events; runs once or not at all.
 * - `resumable-stream`: a stream that another endpoint can go on with from the last event that the caller has.
 */
export type RequestKind = "idempotent" | "at-most-once" | "stream" | "resumable-stream";
