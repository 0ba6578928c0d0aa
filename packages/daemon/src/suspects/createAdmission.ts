import type { DispatchId, EndpointName, VmId } from "@azureshunt/core";
import { deathsOf, hasSuspects, isSuspect, quarantinedUntil, RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

import type { AdmissionResult } from "../ports/AdmissionResult.js";
import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import { applyDeath } from "./applyDeath.js";
import { conflictOf } from "./conflictOf.js";
import { DeathMessage } from "./DeathMessage.js";
import { deathMessageOf } from "./deathMessageOf.js";
import { fingerprintCall } from "./fingerprintCall.js";
import { refuseSuspect } from "./refuseSuspect.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import type { SuspectRun } from "./SuspectRun.js";
import type { SuspectTimes } from "./SuspectTimes.js";
import { waitAtMost } from "./waitAtMost.js";

/** Dependencies of `createAdmission`. */
type AdmissionParts = {
    readonly ctx: DaemonContext;
    readonly calls: RunningCalls;
    readonly suspects: SuspectAggregate;
    readonly times: SuspectTimes;
    /** Settles when the endpoints of a request's broken tries have been probed. */
    readonly waitForProbes: (request: RequestFingerprint) => Promise<void>;
};

/** Admits suspects so that each runs once at a time over all VMs. */
type SuspectAdmission = {
    readonly admit: (call: Call, placement: Placement) => Promise<AdmissionResult>;
    /** To be called when an admitted call has been added to the running calls. */
    readonly runStarted: (dispatchId: DispatchId) => void;
    readonly stop: () => void;
};

/** A run that the other VMs are being queried about. */
type RunQuery = SuspectRun & { conflict: Exclude<AdmissionResult, "admitted"> | undefined; };

const QueryBody = z.object({
    fingerprint: RequestFingerprint,
    endpoint: z.string().transform(name => name as EndpointName),
    deaths: z.array(DeathMessage).default([]),
});
const AnswerBody = z.object({
    conflict: z.enum(["", "request-busy", "endpoint-busy"]).default(""),
    deaths: z.array(DeathMessage).default([]),
    quarantinedMs: z.coerce.number().default(0),
});

/**
 * Starts the part that decides whether a suspect may run at an endpoint. It queries all VMs first: each answers whether
 * it runs the request, or another suspect at that endpoint, and both sides learn which deaths the other one knows of.
 * Of two VMs that query at once, the first by name is preferred. A VM that does not answer is left out, so that a
 * failure domain that is cut off continues to serve.
 */
export function createAdmission({ ctx, calls, suspects, times, waitForProbes }: AdmissionParts): SuspectAdmission {
    const { clock, metrics, peers, settings } = ctx;
    const queries = new Map<DispatchId, RunQuery>();

    const isSuspected = (request: RequestFingerprint): boolean => isSuspect(suspects.state(), request);
    const runs = (): readonly SuspectRun[] =>
        calls.all().map(({ call, endpoint, isAnswering }) => ({
            request: fingerprintCall(call),
            endpoint,
            isAnswering,
        }));

    /** Finds the conflict with what this VM runs or queries for; its own query yields to that of a VM first by name. */
    const localConflict = (wanted: Pick<SuspectRun, "request" | "endpoint">, sender: VmId): RunQuery["conflict"] => {
        const running = conflictOf(runs(), wanted, isSuspected);
        if (running !== undefined || suspects.state().unjudged.has(wanted.request)) {
            return running ?? "request-busy";
        }
        const competing = [...queries.values()].filter(query => conflictOf([query], wanted, isSuspected) !== undefined);
        if (sender < settings.vm) {
            competing.forEach(query => {
                query.conflict = conflictOf([{ ...wanted, isAnswering: false }], query, isSuspected);
            });
            return undefined;
        }
        return conflictOf(competing, wanted, isSuspected);
    };

    const answerQuery = async (body: object, from: VmId): Promise<object> => {
        const { fingerprint, endpoint, deaths } = QueryBody.parse(body);
        await Promise.all(deaths.map(death => applyDeath(suspects, clock, death)));
        const until = quarantinedUntil(suspects.state(), fingerprint, clock.now());
        return {
            conflict: localConflict({ request: fingerprint, endpoint }, from) ?? "",
            deaths: deathsOf(suspects.state(), fingerprint).map(deathMessageOf),
            quarantinedMs: until === undefined ? 0 : Math.ceil(until - clock.now()),
        };
    };

    const applyAnswer = async (request: RequestFingerprint, body: object): Promise<RunQuery["conflict"]> => {
        const { conflict, deaths, quarantinedMs } = AnswerBody.parse(body);
        await Promise.all(deaths.map(death => applyDeath(suspects, clock, death)));
        if (quarantinedMs > 0) {
            await suspects.apply({ kind: "quarantine", request, remainingMs: quarantinedMs });
        }
        return conflict === "" ? undefined : conflict;
    };

    const queryPeers = async ({ request, endpoint }: SuspectRun): Promise<RunQuery["conflict"]> => {
        const query = {
            fingerprint: request,
            endpoint,
            deaths: deathsOf(suspects.state(), request).map(deathMessageOf),
        };
        const conflicts = await Promise.all(
            peers.peers().map(async ({ vm }) => {
                const answer = await peers.exchange(vm, "suspectRun", query, times.admitTimeoutMs);
                return answer.caseOf<Promise<RunQuery["conflict"]>>({
                    Left: () => Promise.resolve(undefined),
                    Right: body => applyAnswer(request, body),
                });
            }),
        );
        return conflicts.find(conflict => conflict === "request-busy") ?? conflicts.find(conflict => conflict);
    };

    const admitSuspect = async (request: RequestFingerprint, placement: Placement): Promise<AdmissionResult> => {
        await waitAtMost(waitForProbes(request), times.maxProbeWaitMs);
        const { endpoint, dispatchId } = placement;
        const conflict = conflictOf([...runs(), ...queries.values()], { request, endpoint }, isSuspected);
        if (conflict !== undefined) {
            return conflict;
        }
        const query: RunQuery = { request, endpoint, isAnswering: false, conflict: undefined };
        queries.set(dispatchId, query);
        const peerConflict = await queryPeers(query);
        const heldConflict = refuseSuspect(suspects.state(), request, clock.now()) === undefined
            ? undefined
            : "request-busy";
        const found = peerConflict ?? query.conflict ?? heldConflict;
        if (found !== undefined) {
            queries.delete(dispatchId);
        }
        return found ?? "admitted";
    };

    const admit: SuspectAdmission["admit"] = async (call, placement) => {
        const request = hasSuspects(suspects.state()) ? fingerprintCall(call) : undefined;
        if (request === undefined || !isSuspected(request)) {
            return "admitted";
        }
        const admission = await admitSuspect(request, placement);
        metrics.count("azureshunt_suspects_admitted_total", "Suspects asked about before a run, by result.", {
            result: admission,
        });
        return admission;
    };
    const stop = peers.handle("suspectRun", answerQuery);
    return { admit, runStarted: dispatchId => void queries.delete(dispatchId), stop };
}
