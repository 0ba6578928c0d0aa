/**
 * How a try at an endpoint ended. `refused`: the endpoint said that it did not run it. `died`: the connection broke or
 * fell silent. `cancelled`: the daemon or the caller gave it up.
 */
export type PlacementOutcome = "complete" | "refused" | "died" | "cancelled";
