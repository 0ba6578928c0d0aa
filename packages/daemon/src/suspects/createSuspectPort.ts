import type { EndpointName } from "@azureshunt/core";
import {
    deathsOf,
    hasSuspects,
    isAssignedEndpoint,
    isWithheld,
    mayShareEndpoint,
    suspectedDeaths,
} from "@azureshunt/request";
import type { RequestFingerprint, SuspectEffect } from "@azureshunt/request";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import type { SuspectPort } from "../ports/SuspectPort.js";
import type { SuspectRunEnd } from "../ports/SuspectRunEnd.js";
import { createAdmission } from "./createAdmission.js";
import { createDeathChecker } from "./createDeathChecker.js";
import { createReliableSender } from "./createReliableSender.js";
import { createRunningCalls } from "./createRunningCalls.js";
import { deathIdOf } from "./deathIdOf.js";
import { fingerprintCall } from "./fingerprintCall.js";
import { handleSuspectMessages } from "./handleSuspectMessages.js";
import { learnQuarantines } from "./learnQuarantines.js";
import { refuseSuspect } from "./refuseSuspect.js";
import { startSuspectAggregate } from "./startSuspectAggregate.js";
import { SUSPECT_TIMES } from "./SUSPECT_TIMES.js";
import type { SuspectTimes } from "./SuspectTimes.js";
import { waitAtMost } from "./waitAtMost.js";

/**
 * Starts the part that keeps track of requests that were running on endpoints when these died, on this and other VMs.
 */
export function createSuspectPort(
    ctx: DaemonContext,
    times: SuspectTimes = SUSPECT_TIMES,
): SuspectPort & { readonly stop: () => void; } {
    const { clock, metrics } = ctx;
    const logger = ctx.logger("suspects");
    const calls = createRunningCalls(clock.now);
    const sender = createReliableSender(ctx, times);

    const sendQuarantine = ({ request, until }: SuspectEffect): void => {
        logger.warn({ fingerprint: request }, "Quarantined a request that crashes endpoints.");
        metrics.count("azureshunt_quarantines_total", "Requests stopped because they crash endpoints.");
        const quarantined = () => ({ fingerprint: request, remainingMs: Math.ceil(until - clock.now()) });
        sender.send("quarantine", () => ({ requests: [quarantined()] }));
    };
    const suspects = startSuspectAggregate(ctx.system, clock, sendQuarantine);
    const { state } = suspects;
    const deathChecker = createDeathChecker({ ctx, calls, suspects, times, sendToPeers: sender.send });
    const admission = createAdmission({ ctx, calls, suspects, times, waitForProbes: deathChecker.waitForProbes });

    /**
     * Waits for the check of the endpoint's death. A request that was running at one death continues soon, even if a VM
     * is slow to answer what it ran. One that was running at two waits until both are checked: it may be the cause, and
     * would crash a third endpoint.
     */
    const waitForDeathCheck = async (call: Call, placement: Placement): Promise<void> => {
        const request = fingerprintCall(call);
        await suspects.apply({ kind: "broke", request, death: deathIdOf(placement) });
        const checked = deathChecker.checkDeath(placement);
        if (isWithheld(state(), request)) {
            logger.info(
                { fingerprint: request, call: call.id },
                "A request waits until the deaths of its endpoints have been checked.",
            );
            await Promise.all([checked, deathChecker.waitForChecks(request)]);
            await sender.allAcknowledged();
        }
        else {
            await waitAtMost(checked, times.maxFirstDeathWaitMs);
        }
    };

    const clear = (request: RequestFingerprint): void => {
        if (deathsOf(state(), request).length > 0) {
            void suspects.apply({ kind: "cleared", request });
            sender.send("suspectCleared", () => ({ fingerprint: request }));
        }
    };

    const modelEndpoints = (): readonly EndpointName[] =>
        [...ctx.release.current()?.endpoints.values() ?? []].filter(spec => spec.kind === "model").map(spec =>
            spec.name
        );

    const check: SuspectPort["check"] = call => {
        const isNothingKnown = state().quarantined.size === 0 && !hasSuspects(state());
        const refusal = isNothingKnown ? undefined : refuseSuspect(state(), fingerprintCall(call), clock.now());
        return refusal === undefined ? Right(call) : Left(refusal);
    };

    const mayShare: SuspectPort["mayShare"] = (call, endpoint) => {
        if (!hasSuspects(state())) {
            return true;
        }
        const request = fingerprintCall(call);
        const beside = calls.at(endpoint).map(fingerprintCall);
        return mayShareEndpoint(state(), request, beside)
            && isAssignedEndpoint(state(), request, endpoint, modelEndpoints(), clock.now());
    };

    const running: SuspectPort["running"] = (call, placement) => {
        const run = calls.add(call, placement);
        admission.runStarted(placement.dispatchId);
        const end = async (ended: SuspectRunEnd): Promise<void> => {
            run.end(ended === "broke" || ended === "silent");
            if (ended === "broke") {
                await waitForDeathCheck(call, placement);
            }
            if (ended === "silent") {
                await waitAtMost(deathChecker.checkDeath(placement), times.maxFirstDeathWaitMs);
            }
            if (ended === "complete" && hasSuspects(state())) {
                clear(fingerprintCall(call));
            }
        };
        return { answering: run.answerStarted, end };
    };

    const removeHandlers = handleSuspectMessages(ctx, calls, suspects);
    const stopLearning = learnQuarantines(ctx, suspects);
    const removeGauges = [
        metrics.gauge(
            "azureshunt_quarantined_requests",
            "Requests that are stopped now.",
            () => state().quarantined.size,
        ),
        metrics.gauge(
            "azureshunt_unexplained_deaths",
            "Deaths of endpoints not explained.",
            () => suspectedDeaths(state()).length,
        ),
    ];
    return {
        check,
        mayShare,
        admit: admission.admit,
        running,
        stop: () => {
            removeHandlers();
            stopLearning();
            admission.stop();
            deathChecker.stop();
            sender.stop();
            removeGauges.forEach(remove => remove());
            suspects.stop();
        },
    };
}
