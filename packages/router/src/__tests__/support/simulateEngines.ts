import type { Millis, Tokens } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";

import type { Route } from "../../configuration/Route.js";

/** Requests of one organisation and route, at random times. */
type EngineLoad = {
    readonly id: string;
    readonly route: Route;
    readonly tokens: Tokens;
    readonly perSecond: number;
};
type EngineEstimate = { readonly queueMs: Millis; readonly startMs: Millis; readonly running: number; };

type EngineSimulation = {
    readonly loads: readonly EngineLoad[];
    readonly engines: number;
    readonly durationMs: Millis;
    readonly isSilent?: (engine: number, now: Millis) => boolean;
    /** Engines that are not up get no requests. */
    readonly isUp?: (engine: number, now: Millis) => boolean;
    /** Returns what is to be called at the end of a request that is sent; `undefined` if it is refused. */
    readonly send: (load: EngineLoad, estimate: EngineEstimate, now: Millis) => (() => void) | undefined;
};

/** Prompt tokens that an engine prefills per millisecond, on deployment F, and its time to the first token after that. */
const [PREFILL_PER_MS, FIRST_TOKEN_MS] = [68.2, 45];

/** Simulates engines that prefill prompts in the order of arrival. Each request goes to the shortest queue. */
export function simulateEngines({ loads, isSilent = () => false, isUp = () => true, ...rest }: EngineSimulation) {
    const random = seededRandom(17).next;
    const arrivals = loads.flatMap(load => {
        const times: { readonly load: EngineLoad; readonly at: Millis; }[] = [];
        for (let at = 0; at < rest.durationMs; at -= Math.log(1 - random()) * 1_000 / load.perSecond) {
            times.push({ load, at });
        }
        return times;
    }).sort((a, b) => a.at - b.at);
    const engines = Array.from({ length: rest.engines }, (_, index) => ({ index, freeAt: 0 }));
    const state = { running: [] as { readonly engine: number; readonly endsAt: Millis; readonly end: () => void; }[] };
    const served = arrivals.map(({ load, at }) => {
        state.running.filter(({ endsAt }) => endsAt <= at).forEach(({ end }) => end());
        state.running = state.running.filter(({ endsAt }) => endsAt > at);
        const engine = engines.filter(({ index }) => isUp(index, at))
            .reduce((best, each) => each.freeAt < best.freeAt ? each : best);
        const queueMs = Math.max(0, engine.freeAt - at);
        const startMs = queueMs + load.tokens / PREFILL_PER_MS + FIRST_TOKEN_MS;
        const running = state.running.filter(each => each.engine === engine.index).length;
        const end = rest.send(load, { queueMs, startMs, running }, at);
        if (end !== undefined) {
            engine.freeAt = at + startMs - FIRST_TOKEN_MS;
            state.running.push({ engine: engine.index, endsAt: at + startMs, end });
        }
        const isSent = end !== undefined;
        const isInTime = isSent && !isSilent(engine.index, at) && startMs <= load.route.objectiveMs;
        return { id: load.id, at, isSent, isInTime };
    });
    const shareOf = (outcome: "isSent" | "isInTime", isCounted: (id: string, at: Millis) => boolean): number => {
        const counted = served.filter(({ id, at }) => isCounted(id, at));
        return counted.filter(each => each[outcome]).length / counted.length;
    };
    return { served, shareOf };
}
