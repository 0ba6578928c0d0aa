import type { Phase } from "../workload/Phase.js";
import { phasesOf } from "../workload/phasesOf.js";

const USUAL = { intensity: 1, engineSlowness: 1, noisy: false, shift: 0 } as const;

/**
 * Phases of a run with failures: one engine dies, later the platform's log is down, and comes back.
 *
 * @param seconds length of each but the warm-up
 */
export function faultPhases(seconds: number): readonly Phase[] {
    const warmUp = phasesOf(seconds).filter(({ name }) => name === "warm-up");
    const names = ["no-fault", "engine-killed", "log-down", "log-back"];
    return [...warmUp, ...names.map(name => ({ ...USUAL, name, seconds }))];
}
