/**
 * How a try at an endpoint failed. `refused`: the endpoint said that it did not run it. `unreached`: no byte can have
 * reached it. `died`: the connection broke or fell silent after that. `cancelled`: the caller is gone.
 */
export type TryFailure = "refused" | "unreached" | "died" | "cancelled";
