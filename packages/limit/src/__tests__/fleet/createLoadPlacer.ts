import type { Millis } from "@azureshunt/core";

import type { EndpointLimit } from "../../EndpointLimit.js";
import { gatherTurns } from "../../gatherTurns.js";
import { hasTurn } from "../../hasTurn.js";
import { isExhausted } from "../../isExhausted.js";
import { lapseTurns } from "../../lapseTurns.js";
import { learnLimit } from "../../learnLimit.js";
import { limitTiming } from "../../limitTiming.js";
import { sentLately } from "../../sentLately.js";
import { turnsPerRequest } from "../../turnsPerRequest.js";
import { useTurn } from "../../useTurn.js";
import { createRate } from "./createRate.js";
import type { Placer } from "./Placer.js";
import type { PlacerParts } from "./PlacerParts.js";

const PHASE_STEP = 0.618;

/** The way that VMs use: turns by the requests that each VM places, with the code that runs. */
export function createLoadPlacer({ vms, silentVms, random }: PlacerParts): Placer {
    const limits = new Map<number, EndpointLimit>();
    const own = createRate(limitTiming.loadMs);
    const earlier = createRate(limitTiming.earlierLoadMs);
    const state = { others: [] as readonly number[], phase: random() };
    return {
        learn: (endpoint, perSecond, now) => {
            const learned = learnLimit(limits.get(endpoint), { bornAt: 1, perSecond, seenAt: now }, state.phase, now);
            state.phase = (state.phase + PHASE_STEP) % 1;
            if (learned !== undefined) {
                limits.set(endpoint, learned);
            }
        },
        turns: (endpoints, now) => {
            const ownPerSecond = own.perSecond(now);
            const ownEarlier = earlier.perSecond(now);
            [own, earlier].forEach(rate => rate.record(now));
            const knownSince = Math.min(...[...limits.values()].map(({ changedAt }) => changedAt));
            const load = {
                ownPerSecond,
                ownEarlier,
                othersPerSecond: state.others[0] ?? 0,
                vms: vms(),
                silentVms: silentVms(),
                isSettling: now - knownSince < limitTiming.settleMs,
            };
            return endpoints.filter(endpoint => {
                const limit = limits.get(endpoint);
                if (limit?.perSecond === undefined) {
                    return true;
                }
                const sent = sentLately(limit, now) + (state.others[endpoint + 1] ?? 0);
                const next = isExhausted(limit.perSecond, sent)
                    ? lapseTurns(limit)
                    : gatherTurns(limit, turnsPerRequest(limit.perSecond, load), now);
                limits.set(endpoint, next);
                return hasTurn(next);
            });
        },
        recordSent: (endpoint: number, now: Millis) => {
            const limit = limits.get(endpoint);
            if (limit !== undefined) {
                limits.set(endpoint, useTurn(limit, now));
            }
        },
        published: now =>
            limits.size === 0
                ? []
                : [own.perSecond(now), ...[...limits.values()].map(limit => sentLately(limit, now))],
        receive: others => {
            state.others = others;
        },
    };
}
