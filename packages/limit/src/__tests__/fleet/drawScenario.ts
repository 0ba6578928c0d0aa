import type { Millis } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";

import type { LimitScenario } from "./LimitScenario.js";

const DURATION_MS: Millis = 30_000;
const STEP_MS: Millis = 4_000;
const STEPS = Math.ceil(DURATION_MS / STEP_MS);

/** Draws a fleet of 3 to 120 VMs whose load and limits change every few seconds, with kills and a cut. */
export function drawScenario(seed: number): Omit<LimitScenario, "createPlacer"> {
    const random = seededRandom(seed + 1_000);
    const vms = random.pick([3, 6, 12, 61, 120]) ?? 6;
    const endpoints = random.pick([4, 13, 30]) ?? 13;
    const usual = random.between(3, 8) * Math.sqrt(vms) * 5;
    const loads = Array.from({ length: STEPS }, () => usual * (random.pick([0.3, 1, 1, 3]) ?? 1));
    const limits = Array.from({ length: STEPS }, () => random.pick([0.2, 1, 1.5, 2, 8, 40]) ?? 1);
    const stepOf = (now: Millis): number => Math.min(STEPS - 1, Math.max(0, Math.floor(now / STEP_MS)));
    const cutAt = random.between(0, DURATION_MS - 10_000);
    return {
        vms,
        failureDomains: random.pick([1, 3, 5]) ?? 3,
        endpoints,
        limited: random.pick([1, 2, endpoints]) ?? 1,
        limitAt: now => limits[stepOf(now)] ?? 1,
        offeredAt: now => loads[stepOf(now)] ?? usual,
        firstVmShare: random.pick([0, 0, 0.5, 0.9]) ?? 0,
        kills: Array.from({ length: 3 }, () => ({
            at: random.between(0, DURATION_MS),
            count: Math.ceil(vms * random.between(0, 0.6)),
        })),
        cut: {
            from: cutAt,
            to: cutAt + random.between(1_000, 10_000),
            count: Math.floor(vms * random.between(0, 0.5)),
        },
        seed,
        durationMs: DURATION_MS,
    };
}
