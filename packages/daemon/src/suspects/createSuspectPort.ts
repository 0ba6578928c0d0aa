import { setTimeout as sleep } from "node:timers/promises";

import type { EndpointName, Millis, Step } from "@azureshunt/core";
import {
    clearSuspect,
    deathsOf,
    isHeld,
    isSpreadTo,
    mayShareEndpoint,
    noSuspects,
    noteBreak,
    noteDeath,
    quarantine,
    settleBreak,
} from "@azureshunt/request";
import type { RequestFingerprint, SuspectEffect, SuspectState } from "@azureshunt/request";
import { Left, Right } from "purify-ts";

import { spawnAggregate } from "../actors/spawnAggregate.js";
import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import type { SuspectPort } from "../ports/SuspectPort.js";
import { createDeathJudge } from "./createDeathJudge.js";
import { createRunningCalls } from "./createRunningCalls.js";
import { deathIdOf } from "./deathIdOf.js";
import { fingerprintModel } from "./fingerprintModel.js";
import { handleSuspectMessages } from "./handleSuspectMessages.js";
import { learnQuarantines } from "./learnQuarantines.js";
import { refuseSuspect } from "./refuseSuspect.js";
import { SUSPECT_TIMES } from "./SUSPECT_TIMES.js";
import type { SuspectEvent } from "./SuspectEvent.js";
import type { SuspectTimes } from "./SuspectTimes.js";

type Effect = SuspectEffect | { readonly kind: "noted"; readonly noted: () => void; };

const calling = (noted: () => void): Effect => ({ kind: "noted", noted });

const reduce = (state: SuspectState, event: SuspectEvent, now: Millis): Step<SuspectState, Effect> => {
    switch (event.kind) {
        case "broke":
            return { state: noteBreak(state, event.request, event.death), effects: [calling(event.noted)] };
        case "settled":
            return { state: settleBreak(state, event.death), effects: [calling(event.noted)] };
        case "death": {
            const step = noteDeath(state, event.report, now);
            const { noted } = event;
            return {
                state: step.state,
                effects: noted === undefined ? [] : [...step.effects, calling(noted)],
            };
        }
        case "quarantine":
            return { state: quarantine(state, event.request, now + event.remainingMs), effects: [] };
        case "cleared":
            return { state: clearSuspect(state, event.request), effects: [] };
    }
};

/** Starts what remembers requests that were running on endpoints when these died, on this and all other VMs. */
export function createSuspectPort(
    ctx: DaemonContext,
    times: SuspectTimes = SUSPECT_TIMES,
): SuspectPort & { readonly stop: () => void; } {
    const { clock, peers, metrics } = ctx;
    const logger = ctx.logger("suspects");
    const calls = createRunningCalls(clock.now);

    const tellPeers = (kind: string, body: object): void =>
        peers.peers().forEach(peer => void peers.exchange(peer.vm, kind, body, times.tellBoundMs));

    const perform = (effect: Effect): void => {
        switch (effect.kind) {
            case "noted":
                effect.noted();
                return;
            case "quarantine": {
                logger.warn({ fingerprint: effect.request }, "A request crashes endpoints and is stopped.");
                metrics.count("azureshunt_quarantines_total", "Requests stopped because they crash endpoints.");
                const remainingMs = Math.ceil(effect.until - clock.now());
                tellPeers("quarantine", { requests: [{ fingerprint: effect.request, remainingMs }] });
                return;
            }
        }
    };
    const aggregate = spawnAggregate<SuspectState, SuspectEvent, Effect>(ctx.system, {
        name: "suspects",
        initial: noSuspects,
        now: clock.now,
        reduce,
        perform,
    });
    const { tell, state } = aggregate;

    const judge = createDeathJudge({ ctx, calls, suspects: aggregate, times, tellPeers });

    /**
     * A request that was present at one death goes on soon even if some VM is slow to say what it ran. One that was present
     * at two goes no further until both are judged: it may be the cause, and would bring down a third endpoint.
     */
    const waitForJudgement = async (call: Call, placement: Placement): Promise<void> => {
        const request = fingerprintModel(call);
        await new Promise<void>(noted => tell({ kind: "broke", request, death: deathIdOf(placement), noted }));
        const judgement = judge.judge(placement);
        if (isHeld(state(), request)) {
            logger.info({ fingerprint: request, call: call.id }, "A request waits until endpoints' deaths are judged.");
            await Promise.all([judgement, ...judge.pending(request)]);
        }
        else {
            await Promise.race([judgement, sleep(times.firstDeathWaitMs, undefined, { ref: false })]);
        }
    };

    const clear = (request: RequestFingerprint): void => {
        if (deathsOf(state(), request).length > 0) {
            tell({ kind: "cleared", request });
            tellPeers("suspectCleared", { fingerprint: request });
        }
    };

    const modelEndpoints = (): readonly EndpointName[] =>
        [...ctx.release.current()?.endpoints.values() ?? []].filter(spec => spec.kind === "model").map(spec =>
            spec.name
        );

    const check: SuspectPort["check"] = call => {
        const { quarantined, deaths, unjudged } = state();
        const refusal = quarantined.size + deaths.length + unjudged.size === 0
            ? undefined
            : refuseSuspect(state(), fingerprintModel(call), clock.now());
        return refusal === undefined ? Right(call) : Left(refusal);
    };

    const mayShare: SuspectPort["mayShare"] = (call, endpoint) => {
        if (state().deaths.length + state().unjudged.size === 0) {
            return true;
        }
        const request = fingerprintModel(call);
        const beside = calls.at(endpoint).map(fingerprintModel);
        return mayShareEndpoint(state(), request, beside)
            && isSpreadTo(state(), request, endpoint, modelEndpoints(), clock.now());
    };

    const running: SuspectPort["running"] = (call: Call, placement: Placement) => {
        const remove = calls.add(call, placement.endpoint);
        return async outcome => {
            remove(outcome === "died");
            if (outcome === "died" && call.target.kind === "model") {
                await waitForJudgement(call, placement);
            }
            if (outcome === "complete" && state().deaths.length > 0) {
                clear(fingerprintModel(call));
            }
        };
    };

    const endMessages = handleSuspectMessages(ctx, calls, state, tell);
    const endLearning = learnQuarantines(ctx, tell);
    const removeGauges = [
        metrics.gauge(
            "azureshunt_quarantined_requests",
            "Requests that are stopped now.",
            () => state().quarantined.size,
        ),
        metrics.gauge(
            "azureshunt_unexplained_deaths",
            "Deaths of endpoints not explained.",
            () => state().deaths.filter(({ running }) => running.length > 0).length,
        ),
    ];
    return {
        check,
        mayShare,
        running,
        stop: () => {
            endMessages();
            endLearning();
            judge.stop();
            removeGauges.forEach(remove => remove());
            aggregate.stop();
        },
    };
}
