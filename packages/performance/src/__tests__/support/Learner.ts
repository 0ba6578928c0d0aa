import type { Observation } from "../../Observation.js";
import type { overdueOf } from "../../overdueOf.js";
import type { StartLoad } from "../../StartLoad.js";

/** A way to learn the starts of endpoints. */
export type Learner = {
    readonly observe: (endpoint: number, observation: Observation, now: number) => void;
    /** @param pending tries at the endpoint whose answers have not started */
    readonly predictMs: (
        endpoint: number,
        load: StartLoad,
        now: number,
        pending: Parameters<typeof overdueOf>[0],
    ) => number;
};
