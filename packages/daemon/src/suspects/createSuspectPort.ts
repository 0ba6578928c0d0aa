import type { EndpointName } from "@azureshunt/core";
import { deathsOf, hasSuspects, isHeld, isSpreadTo, mayShareEndpoint, suspectedDeaths } from "@azureshunt/request";
import type { RequestFingerprint, SuspectEffect } from "@azureshunt/request";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import type { SuspectPort } from "../ports/SuspectPort.js";
import type { SuspectRunEnd } from "../ports/SuspectRunEnd.js";
import { createAdmission } from "./createAdmission.js";
import { createDeathJudge } from "./createDeathJudge.js";
import { createRunningCalls } from "./createRunningCalls.js";
import { createTeller } from "./createTeller.js";
import { deathIdOf } from "./deathIdOf.js";
import { fingerprintModel } from "./fingerprintModel.js";
import { handleSuspectMessages } from "./handleSuspectMessages.js";
import { learnQuarantines } from "./learnQuarantines.js";
import { refuseSuspect } from "./refuseSuspect.js";
import { startSuspectAggregate } from "./startSuspectAggregate.js";
import { SUSPECT_TIMES } from "./SUSPECT_TIMES.js";
import type { SuspectTimes } from "./SuspectTimes.js";
import { waitAtMost } from "./waitAtMost.js";

/** Starts what remembers requests that were running on endpoints when these died, on this and all other VMs. */
export function createSuspectPort(
    ctx: DaemonContext,
    times: SuspectTimes = SUSPECT_TIMES,
): SuspectPort & { readonly stop: () => void; } {
    const { clock, metrics } = ctx;
    const logger = ctx.logger("suspects");
    const calls = createRunningCalls(clock.now);
    const teller = createTeller(ctx, times);

    const stopRequest = ({ request, until }: SuspectEffect): void => {
        logger.warn({ fingerprint: request }, "A request crashes endpoints and is stopped.");
        metrics.count("azureshunt_quarantines_total", "Requests stopped because they crash endpoints.");
        const told = () => ({ fingerprint: request, remainingMs: Math.ceil(until - clock.now()) });
        teller.tell("quarantine", () => ({ requests: [told()] }));
    };
    const suspects = startSuspectAggregate(ctx.system, clock, stopRequest);
    const { state } = suspects;
    const judge = createDeathJudge({ ctx, calls, suspects, times, tellPeers: teller.tell });
    const admission = createAdmission({ ctx, calls, suspects, times, probed: judge.probed });

    /**
     * A request that was present at one death goes on soon even if some VM is slow to say what it ran. One that was present
     * at two goes no further until both are judged: it may be the cause, and would bring down a third endpoint.
     */
    const waitForJudgement = async (call: Call, placement: Placement): Promise<void> => {
        const request = fingerprintModel(call);
        await suspects.tell({ kind: "broke", request, death: deathIdOf(placement) });
        const judgement = judge.judge(placement);
        if (isHeld(state(), request)) {
            logger.info({ fingerprint: request, call: call.id }, "A request waits until endpoints' deaths are judged.");
            await Promise.all([judgement, judge.judged(request)]);
            await teller.told();
        }
        else {
            await waitAtMost(judgement, times.firstDeathWaitMs);
        }
    };

    const clear = (request: RequestFingerprint): void => {
        if (deathsOf(state(), request).length > 0) {
            void suspects.tell({ kind: "cleared", request });
            teller.tell("suspectCleared", () => ({ fingerprint: request }));
        }
    };

    const modelEndpoints = (): readonly EndpointName[] =>
        [...ctx.release.current()?.endpoints.values() ?? []].filter(spec => spec.kind === "model").map(spec =>
            spec.name
        );

    const check: SuspectPort["check"] = call => {
        const isNobodyStopped = state().quarantined.size === 0 && !hasSuspects(state());
        const refusal = isNobodyStopped ? undefined : refuseSuspect(state(), fingerprintModel(call), clock.now());
        return refusal === undefined ? Right(call) : Left(refusal);
    };

    const mayShare: SuspectPort["mayShare"] = (call, endpoint) => {
        if (!hasSuspects(state())) {
            return true;
        }
        const request = fingerprintModel(call);
        const beside = calls.at(endpoint).map(fingerprintModel);
        return mayShareEndpoint(state(), request, beside)
            && isSpreadTo(state(), request, endpoint, modelEndpoints(), clock.now());
    };

    const running: SuspectPort["running"] = (call, placement) => {
        const run = calls.add(call, placement);
        admission.began(placement.dispatchId);
        const end = async (ended: SuspectRunEnd): Promise<void> => {
            run.end(ended === "broke" || ended === "silent");
            if (ended === "broke") {
                await waitForJudgement(call, placement);
            }
            if (ended === "silent") {
                await waitAtMost(judge.judge(placement), times.firstDeathWaitMs);
            }
            if (ended === "complete" && hasSuspects(state())) {
                clear(fingerprintModel(call));
            }
        };
        return { answering: run.answering, end };
    };

    const endMessages = handleSuspectMessages(ctx, calls, suspects);
    const endLearning = learnQuarantines(ctx, suspects);
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
            endMessages();
            endLearning();
            admission.stop();
            judge.stop();
            teller.stop();
            removeGauges.forEach(remove => remove());
            suspects.stop();
        },
    };
}
