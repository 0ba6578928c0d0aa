import { setTimeout as sleep } from "node:timers/promises";

import type { ProbeResult } from "./ProbeResult.js";
import type { ProbeTiming } from "./ProbeTiming.js";

/**
 * Probes a process repeatedly until the result is clear. A process whose result is still unclear at the end counts as
 * alive.
 *
 * If the process is just dying, or this one is too busy to receive its answer, a single probe could find it alive, and
 * the request that crashed it would be sent to the next endpoint. To prevent this, a connection that breaks off or is
 * not answered counts as unclear and is probed again.
 *
 * @returns whether the process has died
 */
export async function probeUntilClear(
    probe: () => Promise<ProbeResult>,
    { againMs, allMs }: ProbeTiming,
): Promise<boolean> {
    const until = performance.now() + allMs;
    const poll = async (): Promise<boolean> => {
        const result = await probe();
        if (result !== "unclear" || performance.now() >= until) {
            return result === "dead";
        }
        await sleep(againMs);
        return poll();
    };
    return poll();
}
