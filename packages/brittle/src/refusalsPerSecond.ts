import type { BrittleState } from "./BrittleState.js";
import { brittleTiming } from "./brittleTiming.js";

/** Returns one VM's share of the refusals that an endpoint bears; below 1 in large fleets. */
export function refusalsPerSecond({ maxRefusals }: BrittleState, vms: number): number {
    return maxRefusals * brittleTiming.usedFraction / vms;
}
