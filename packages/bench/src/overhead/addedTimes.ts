import type { EngineHistory } from "../analysis/EngineHistory.js";
import type { Probe } from "./Probe.js";

/** Returns the milliseconds from arrival at an engine to the first token, by length of the prompt. */
const engineTimesOf = (histories: readonly EngineHistory[]): ReadonlyMap<number, number> => {
    const entries = histories.flatMap(history => history.entries);
    const firstTokenAt = new Map(
        entries.flatMap(entry => entry.kind === "end" ? [[entry.dispatchId, entry.firstTokenAt] as const] : []),
    );
    return new Map(entries.flatMap(entry => {
        const firstAt = entry.kind === "run" ? firstTokenAt.get(entry.dispatchId) : undefined;
        return entry.kind === "run" && firstAt !== undefined
            ? [[entry.promptTokens, firstAt - entry.arrivedAt] as const]
            : [];
    }));
};

/**
 * Subtracts the engine's own time from the measured time of each probe. The run of a probe is found by the length of
 * its prompt, which no other probe has.
 *
 * @returns milliseconds spent outside the engine, one value per probe whose run was found
 */
export function addedTimes(probes: readonly Probe[], histories: readonly EngineHistory[]): readonly number[] {
    const times = engineTimesOf(histories);
    return probes.flatMap(({ promptTokens, firstTokenMs }) => {
        const engineMs = times.get(promptTokens);
        return engineMs === undefined ? [] : [firstTokenMs - engineMs];
    });
}
