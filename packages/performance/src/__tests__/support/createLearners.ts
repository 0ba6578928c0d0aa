import type { EndpointFigures } from "../../EndpointFigures.js";
import { initialService } from "../../initialService.js";
import { overdueOf } from "../../overdueOf.js";
import { predict } from "../../predict.js";
import { stepModel } from "../../stepModel.js";
import { stepSpread } from "../../stepSpread.js";
import type { Learner } from "./Learner.js";
import type { replayLoads } from "./replayLoads.js";

type Truth = Pick<Parameters<typeof replayLoads>[0], "speeds" | "figures">;

/** Creates the model, and a learner that has the true figures and the loads as late as the model. */
export function createLearners({ speeds, figures }: Truth): Readonly<Record<"known" | "chosen", () => Learner>> {
    const [prefill, firstTokenMs, runningMs] = figures;
    return {
        known: () => ({
            observe: () => undefined,
            predictMs: (endpoint, { waitingTokens, missingTokens, running }, now) =>
                ((waitingTokens + missingTokens) / prefill + firstTokenMs + running * runningMs)
                / (speeds[endpoint]?.(now) ?? 1),
        }),
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
