import { setTimeout as sleep } from "node:timers/promises";

import type { Probe } from "./Probe.js";
import type { ProbePace } from "./ProbePace.js";

/**
 * Asks whether a process has died until the answer is clear. One that is still unclear at the end counts as alive.
 *
 * Failure: the process is just dying, or the asker is too busy to hear it answer; it would pass for alive, and the request
 * that crashed it goes on to the next one. Guard: a connection that is broken off or not answered says nothing yet.
 */
export async function probeUntilClear(probe: () => Promise<Probe>, { againMs, allMs }: ProbePace): Promise<boolean> {
    const until = performance.now() + allMs;
    const ask = async (): Promise<boolean> => {
        const found = await probe();
        if (found !== "unclear" || performance.now() >= until) {
            return found === "dead";
        }
        await sleep(againMs);
        return ask();
    };
    return ask();
}
