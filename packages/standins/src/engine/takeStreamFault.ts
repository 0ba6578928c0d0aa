import type { Switches } from "../common/Switches.js";
import type { EngineSwitches } from "./EngineSwitches.js";
import type { StreamFault } from "./StreamFault.js";

const COUNTDOWNS = [
    { countdown: "cutStreams", kind: "cut" },
    { countdown: "stallStreams", kind: "stall" },
    { countdown: "skipTokens", kind: "skip" },
    { countdown: "repeatTokens", kind: "repeat" },
] as const;

/** Returns the fault to inject into the next answer, and decrements its switch. */
export function takeStreamFault(switches: Switches<EngineSwitches>): StreamFault {
    const current = switches.current();
    const nextFault = COUNTDOWNS.find(({ countdown }) => current[countdown] > 0);
    if (nextFault === undefined) {
        return { kind: "none", at: 0 };
    }
    switches.update({ [nextFault.countdown]: current[nextFault.countdown] - 1 });
    return { kind: nextFault.kind, at: current.cutAfterTokens };
}
