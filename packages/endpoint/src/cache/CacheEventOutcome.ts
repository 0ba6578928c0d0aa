/**
 * What became of a cache event. `applied`: in order. `gap`: events before it are missing, so the endpoint's entries are
 * doubtful until a resync. `repeated`: known already. `other-incarnation`: not of the endpoint's current run; dropped.
 */
export type CacheEventOutcome = "applied" | "gap" | "repeated" | "other-incarnation";
