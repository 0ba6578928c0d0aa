/**
 * How a try at an endpoint ended. `refused`: the endpoint said that it did not run the request. `died`: the try failed in
 * another way, such as a connection that broke or went silent. `cancelled`: the daemon or the caller ended it.
 */
export type PlacementOutcome = "complete" | "refused" | "died" | "cancelled";
