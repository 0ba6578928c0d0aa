import type { Switches } from "../common/Switches.js";
import type { EngineSwitches } from "./EngineSwitches.js";
import type { StreamFault } from "./StreamFault.js";

const COUNTDOWNS = [
    { countdown: "cutStreams", kind: "cut" },
    { countdown: "stallStreams", kind: "stall" },
    { countdown: "skipTokens", kind: "skip" },
    { countdown: "repeatTokens", kind: "repeat" },
] as const;

/** Takes the fault that the next answer is to have, and counts it down. */
export function takeStreamFault(switches: Switches<EngineSwitches>): StreamFault {
    const current = switches.current();
    const due = COUNTDOWNS.find(({ countdown }) => current[countdown] > 0);
    if (due === undefined) {
        return { kind: "none", at: 0 };
    }
    switches.update({ [due.countdown]: current[due.countdown] - 1 });
    return { kind: due.kind, at: current.cutAfterTokens };
}
