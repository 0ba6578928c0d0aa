import { costOf } from "./costOf.js";
import type { Workload } from "./Workload.js";

/** The rate of an organisation in tokens per second, and its burst in tokens. */
type Allowance = { readonly rate: number; readonly burst: number; };

/** Returns the allowance of an organisation: its expected use times the headroom of the workload. */
export function allowanceOf(workload: Workload, share: number): Allowance {
    const tokensPerRequest = workload.mix.long * costOf(workload, "long") +
        workload.mix.short * costOf(workload, "short");
    const rate = Math.ceil(workload.requestsPerSecond * share * tokensPerRequest * workload.rateHeadroom);
    return { rate, burst: Math.ceil(rate * workload.burstSeconds) };
}
