/**
 * How a run of a request at an endpoint ended. `broke`: the connection did, so the endpoint may have died; `silent`: nothing
 * came any more, as from one that is suspended or cut off; `cancelled`: the request did not run to its end for other reasons.
 */
export type SuspectRunEnd = "complete" | "broke" | "silent" | "cancelled";
