import type { EngineHistory } from "../analysis/EngineHistory.js";
import type { Probe } from "./Probe.js";

/** What an engine itself took for a prompt, by the prompt's length. */
const engineTimes = (histories: readonly EngineHistory[]): ReadonlyMap<number, number> => {
    const entries = histories.flatMap(history => history.entries);
    const firstAt = new Map(
        entries.flatMap(entry => entry.kind === "end" ? [[entry.dispatchId, entry.firstTokenAt] as const] : []),
    );
    return new Map(entries.flatMap(entry => {
        const first = entry.kind === "run" ? firstAt.get(entry.dispatchId) : undefined;
        return entry.kind === "run" && first !== undefined
            ? [[entry.promptTokens, first - entry.arrivedAt] as const]
            : [];
    }));
};

/**
 * Takes the engine's own time off the times that probes saw. Each probe's prompt has a length of its own, by which its
 * run is found.
 *
 * @returns milliseconds that were spent outside the engine, one a probe whose run was found
 */
export function addedTimes(probes: readonly Probe[], histories: readonly EngineHistory[]): readonly number[] {
    const times = engineTimes(histories);
    return probes.flatMap(({ promptTokens, firstMs }) => {
        const engine = times.get(promptTokens);
        return engine === undefined ? [] : [firstMs - engine];
    });
}
