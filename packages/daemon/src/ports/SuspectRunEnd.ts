/**
 * How a run of a request at an endpoint ended. `broke`: the connection broke, so the endpoint may have died; `silent`:
 * nothing more was received, as from an endpoint that is suspended or cut off; `cancelled`: the run ended early for
 * another reason.
 */
export type SuspectRunEnd = "complete" | "broke" | "silent" | "cancelled";
