/**
 * Result of applying a cache event. `applied`: in order. `gap`: applied, but earlier events are missing, so the
 * endpoint needs a resync. `repeated`: already known. `other-incarnation`: dropped, as it is not of the endpoint's
 * current incarnation.
 */
export type CacheEventOutcome = "applied" | "gap" | "repeated" | "other-incarnation";
