import { setTimeout as sleep } from "node:timers/promises";

import { refusalOf } from "@azureshunt/core";
import type { EndpointName, Millis, Step } from "@azureshunt/core";
import {
    clearSuspect,
    isSpreadTo,
    isSuspect,
    mayShareEndpoint,
    noSuspects,
    noteDeath,
    quarantine,
    quarantinedUntil,
} from "@azureshunt/request";
import type { RequestFingerprint, SuspectEffect, SuspectState } from "@azureshunt/request";
import { Left, Right } from "purify-ts";

import { spawnAggregate } from "../actors/spawnAggregate.js";
import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import type { SuspectPort } from "../ports/SuspectPort.js";
import { createRunningCalls } from "./createRunningCalls.js";
import { fingerprintModel } from "./fingerprintModel.js";
import { gatherDeath } from "./gatherDeath.js";
import { handleSuspectMessages } from "./handleSuspectMessages.js";
import { hasDied } from "./hasDied.js";
import { learnQuarantines } from "./learnQuarantines.js";
import type { SuspectEvent } from "./SuspectEvent.js";

const TELL_BOUND_MS = 1_000;
const FIRST_DEATH_WAIT_MS = 300;
const SECOND_DEATH_WAIT_MS = 5_000;
const MILLIS_PER_SECOND = 1_000;

type Effect = SuspectEffect | { readonly kind: "judged"; readonly judged: () => void; };

const reduce = (state: SuspectState, event: SuspectEvent, now: Millis): Step<SuspectState, Effect> => {
    switch (event.kind) {
        case "death": {
            const step = noteDeath(state, event.report, now);
            const { judged } = event;
            return {
                state: step.state,
                effects: judged === undefined ? [] : [...step.effects, { kind: "judged", judged }],
            };
        }
        case "quarantine":
            return { state: quarantine(state, event.request, now + event.remainingMs), effects: [] };
        case "cleared":
            return { state: clearSuspect(state, event.request), effects: [] };
    }
};

/** Starts what remembers requests that were running on endpoints when these died, on this and all other VMs. */
export function createSuspectPort(ctx: DaemonContext): SuspectPort & { readonly stop: () => void; } {
    const { clock, peers, metrics } = ctx;
    const logger = ctx.logger("suspects");
    const calls = createRunningCalls(clock.now);
    const presentBefore = new WeakSet<Call["target"]>();
    const judging = new Map<string, Promise<void>>();

    const tellPeers = (kind: string, body: object): void =>
        peers.peers().forEach(peer => void peers.exchange(peer.vm, kind, body, TELL_BOUND_MS));

    const perform = (effect: Effect): void => {
        switch (effect.kind) {
            case "judged":
                effect.judged();
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

    const judge = async (id: string, placement: Placement): Promise<void> => {
        const { endpoint, url, incarnation } = placement;
        if (state().deaths.some(death => death.id === id)) {
            return;
        }
        const running = calls.lately(endpoint, clock.now()).map(fingerprintModel);
        if (!await hasDied(url, incarnation)) {
            return;
        }
        metrics.count("azureshunt_endpoint_deaths_total", "Deaths of endpoints with requests running there.");
        const report = await gatherDeath(ctx, id, endpoint, running);
        const { death, complete } = report;
        tellPeers("endpointDeath", { id, endpoint, running: death.running, gathered: true, complete });
        logger.info({ id, running: death.running.length, complete }, "An endpoint has died.");
        await new Promise<void>(judged => tell({ kind: "death", report, judged }));
    };

    /** One death shows on all connections to the endpoint and is judged once. */
    const judgeOnce = (placement: Placement): Promise<void> => {
        const id = `${placement.endpoint}/${placement.incarnation ?? "unknown"}`;
        const known = judging.get(id) ?? judge(id, placement).finally(() => judging.delete(id));
        judging.set(id, known);
        return known;
    };

    /**
     * A request that was present at one death goes on soon even if some VM is slow to say what it ran. One that was present
     * at an earlier death already waits for the judgement, as it may be the one that is stopped by it.
     */
    const waitForJudgement = async (call: Call, judgement: Promise<void>): Promise<void> => {
        const bound = presentBefore.has(call.target) ? SECOND_DEATH_WAIT_MS : FIRST_DEATH_WAIT_MS;
        presentBefore.add(call.target);
        await Promise.race([judgement, sleep(bound, undefined, { ref: false })]);
    };

    const clear = (request: RequestFingerprint): void => {
        if (isSuspect(state(), request)) {
            tell({ kind: "cleared", request });
            tellPeers("suspectCleared", { fingerprint: request });
        }
    };

    const modelEndpoints = (): readonly EndpointName[] =>
        [...ctx.release.current()?.endpoints.values() ?? []].filter(spec => spec.kind === "model").map(spec =>
            spec.name
        );

    const check: SuspectPort["check"] = call => {
        const { quarantined } = state();
        const until = quarantined.size === 0
            ? undefined
            : quarantinedUntil(state(), fingerprintModel(call), clock.now());
        const seconds = Math.ceil(((until ?? 0) - clock.now()) / MILLIS_PER_SECOND);
        return until === undefined
            ? Right(call)
            : Left(refusalOf("request-crashes-endpoints", `It is stopped for ${seconds} s more.`));
    };

    const mayShare: SuspectPort["mayShare"] = (call, endpoint) => {
        if (state().deaths.length === 0) {
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
                await waitForJudgement(call, judgeOnce(placement));
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
            () => state().deaths.length,
        ),
    ];
    return {
        check,
        mayShare,
        running,
        stop: () => {
            endMessages();
            endLearning();
            removeGauges.forEach(remove => remove());
            aggregate.stop();
        },
    };
}
