/** Part of serving a request that CPU time is attributed to; `other` holds the rest, work in the background included. */
export type CostStage = "accept" | "admit" | "place" | "forward" | "account" | "log" | "other";
