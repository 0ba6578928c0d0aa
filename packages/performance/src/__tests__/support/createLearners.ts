import type { EndpointFigures } from "../../EndpointFigures.js";
import { initialService } from "../../initialService.js";
import { overdueOf } from "../../overdueOf.js";
import { partsOf } from "../../partsOf.js";
import { predict } from "../../predict.js";
import type { StartLoad } from "../../StartLoad.js";
import { stepFactors } from "../../stepFactors.js";
import { stepModel } from "../../stepModel.js";
import { stepSpread } from "../../stepSpread.js";
import type { Weights } from "../../Weights.js";
import type { Learner } from "./Learner.js";
import type { replayLoads } from "./replayLoads.js";

type Truth = Pick<Parameters<typeof replayLoads>[0], "speeds" | "figures">;

const EWMA_GAIN = 0.25;
const WINDOW = 7;
const LEAST_SQUARES_VARIANCE = 0.06;

const constantMs = (load: StartLoad): number => {
    const { queueMs, ownMs } = predict(undefined, load, 0);
    return queueMs + ownMs;
};

const totals = (load: StartLoad): Weights => {
    const { queue, own } = partsOf(load);
    return [queue[0] + own[0], queue[1] + own[1], queue[2] + own[2]];
};

/** Creates the ways that are weighed, by name; `known` has the true figures, and the loads as late as the others. */
export function createLearners({ speeds, figures }: Truth): Readonly<Record<string, () => Learner>> {
    const [prefill, firstTokenMs, runningMs] = figures;
    return {
        known: () => ({
            observe: () => undefined,
            predictMs: (endpoint, { waitingTokens, missingTokens, running }, now) =>
                ((waitingTokens + missingTokens) / prefill + firstTokenMs + running * runningMs)
                / (speeds[endpoint]?.(now) ?? 1),
        }),
        constants: () => ({ observe: () => undefined, predictMs: (_, load) => constantMs(load) }),
        ratio: () => {
            const ratios = new Map<number, number>();
            return {
                observe: (endpoint, { load, startMs }) => {
                    const ratio = ratios.get(endpoint) ?? 1;
                    ratios.set(endpoint, ratio + (startMs / constantMs(load) - ratio) * EWMA_GAIN);
                },
                predictMs: (endpoint, load) => (ratios.get(endpoint) ?? 1) * constantMs(load),
            };
        },
        window: () => {
            const windows = new Map<number, readonly number[]>();
            const medianOf = (values: readonly number[]): number =>
                values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 1;
            return {
                observe: (endpoint, { load, startMs }) =>
                    void windows.set(
                        endpoint,
                        [...windows.get(endpoint) ?? [], startMs / constantMs(load)].slice(-WINDOW),
                    ),
                predictMs: (endpoint, load) => medianOf(windows.get(endpoint) ?? []) * constantMs(load),
            };
        },
        leastSquares: () => {
            const all = new Map<number, Pick<typeof initialService, "factors" | "covariance">>();
            const sumOf = (factors: Weights, load: StartLoad): number =>
                totals(load).reduce((sum, part, i) => sum + part * (factors[i] ?? 1), 0);
            return {
                observe: (endpoint, { load, startMs }) => {
                    const known = all.get(endpoint) ?? initialService;
                    const predicted = sumOf(known.factors, load);
                    all.set(
                        endpoint,
                        stepFactors(
                            known,
                            totals(load),
                            startMs / predicted - 1,
                            LEAST_SQUARES_VARIANCE,
                        ),
                    );
                },
                predictMs: (endpoint, load) => sumOf((all.get(endpoint) ?? initialService).factors, load),
            };
        },
        chosen: () => {
            const endpoints = new Map<number, EndpointFigures>();
            const state = { service: initialService, spreadAt: 0 };
            return {
                observe: (name, observation, now) => {
                    const { service, endpoint } = stepModel(
                        { service: state.service, endpoint: endpoints.get(name) },
                        observation,
                        now,
                    );
                    state.service = service;
                    if (endpoint !== undefined) {
                        endpoints.set(name, endpoint);
                    }
                    if (now - state.spreadAt > 200) {
                        state.service = stepSpread(service, [...endpoints.values()]);
                        state.spreadAt = now;
                    }
                },
                predictMs: (name, load, now, pending) => {
                    const { queueMs, ownMs } = predict(
                        { service: state.service, endpoint: endpoints.get(name) },
                        load,
                        now,
                        overdueOf(pending, endpoints.get(name), now),
                    );
                    return queueMs + ownMs;
                },
            };
        },
    };
}
