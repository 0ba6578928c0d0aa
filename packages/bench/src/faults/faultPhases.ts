import type { Phase } from "../workload/Phase.js";
import { phasesOf } from "../workload/phasesOf.js";

const NORMAL_LOAD = { intensity: 1, engineSlowness: 1, noisy: false, shift: 0 } as const;

/**
 * Returns the phases of a run with faults: an engine dies, then the platform's log is unavailable, then it is back.
 *
 * @param seconds length of each phase but the warm-up
 */
export function faultPhases(seconds: number): readonly Phase[] {
    const warmUp = phasesOf(seconds).filter(({ name }) => name === "warm-up");
    const names = ["no-fault", "engine-killed", "log-down", "log-back"];
    return [...warmUp, ...names.map(name => ({ ...NORMAL_LOAD, name, seconds }))];
}
