import { costOf } from "./costOf.js";
import type { Workload } from "./Workload.js";

/** An organisation's rate in tokens a second, and its burst in tokens. */
type Allowance = { readonly rate: number; readonly burst: number; };

/** The allowance of an organisation: its expected use and some headroom. */
export function allowanceOf(workload: Workload, share: number): Allowance {
    const perRequest = workload.mix.long * costOf(workload, "long") + workload.mix.short * costOf(workload, "short");
    const rate = Math.ceil(workload.requestsPerSecond * share * perRequest * workload.rateHeadroom);
    return { rate, burst: Math.ceil(rate * workload.burstSeconds) };
}
