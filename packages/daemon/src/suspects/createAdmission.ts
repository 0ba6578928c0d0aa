import type { DispatchId, EndpointName, VmId } from "@azureshunt/core";
import { deathsOf, hasSuspects, isSuspect, quarantinedUntil, RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

import type { Admission } from "../ports/Admission.js";
import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import { conflictOf } from "./conflictOf.js";
import { DeathMessage } from "./DeathMessage.js";
import { deathRow } from "./deathRow.js";
import { fingerprintModel } from "./fingerprintModel.js";
import { refuseSuspect } from "./refuseSuspect.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import type { SuspectRun } from "./SuspectRun.js";
import type { SuspectTimes } from "./SuspectTimes.js";
import { takeDeath } from "./takeDeath.js";
import { waitAtMost } from "./waitAtMost.js";

/** What admitting suspects needs. */
type AdmissionParts = {
    readonly ctx: DaemonContext;
    readonly calls: RunningCalls;
    readonly suspects: SuspectAggregate;
    readonly times: SuspectTimes;
    /** Settles when it is known whether the endpoints of a request's broken tries have died. */
    readonly probed: (request: RequestFingerprint) => Promise<void>;
};

/** Lets suspects run one at a time over all VMs. */
type SuspectAdmission = {
    readonly admit: (call: Call, placement: Placement) => Promise<Admission>;
    /** A call that was admitted runs now. */
    readonly began: (dispatch: DispatchId) => void;
    readonly stop: () => void;
};

/** A run that the other VMs are being asked about. */
type Ask = SuspectRun & { conflict: Exclude<Admission, "admitted"> | undefined; };

const Question = z.object({
    fingerprint: RequestFingerprint,
    endpoint: z.string().transform(name => name as EndpointName),
    deaths: z.array(DeathMessage).default([]),
});
const Answer = z.object({
    conflict: z.enum(["", "request-busy", "endpoint-busy"]).default(""),
    deaths: z.array(DeathMessage).default([]),
    quarantinedMs: z.coerce.number().default(0),
});

/**
 * Starts what decides whether a suspect may run at an endpoint. All VMs are asked first: each says whether the request, or
 * another suspect at that endpoint, runs there, and both sides learn which deaths the other one knows of. Of two VMs that ask
 * at once, the first by name goes first. A VM that does not answer is left out, so that a cut-off failure domain goes on.
 */
export function createAdmission({ ctx, calls, suspects, times, probed }: AdmissionParts): SuspectAdmission {
    const { clock, metrics, peers, settings } = ctx;
    const asks = new Map<DispatchId, Ask>();

    const isSuspected = (request: RequestFingerprint): boolean => isSuspect(suspects.state(), request);
    const runs = (): readonly SuspectRun[] =>
        calls.now().map(({ call, endpoint, isAnswering }) => ({
            request: fingerprintModel(call),
            endpoint,
            isAnswering,
        }));

    /** The conflict with what this VM runs or asks for; an ask of its own gives way to one that goes first. */
    const conflictHere = (wanted: Pick<SuspectRun, "request" | "endpoint">, asker: VmId): Ask["conflict"] => {
        const running = conflictOf(runs(), wanted, isSuspected);
        if (running !== undefined || suspects.state().unjudged.has(wanted.request)) {
            return running ?? "request-busy";
        }
        const rivals = [...asks.values()].filter(ask => conflictOf([ask], wanted, isSuspected) !== undefined);
        if (asker < settings.vm) {
            rivals.forEach(ask => {
                ask.conflict = conflictOf([{ ...wanted, isAnswering: false }], ask, isSuspected);
            });
            return undefined;
        }
        return conflictOf(rivals, wanted, isSuspected);
    };

    const answer = async (body: object, from: VmId): Promise<object> => {
        const { fingerprint, endpoint, deaths } = Question.parse(body);
        await Promise.all(deaths.map(death => takeDeath(suspects, clock, death)));
        const until = quarantinedUntil(suspects.state(), fingerprint, clock.now());
        return {
            conflict: conflictHere({ request: fingerprint, endpoint }, from) ?? "",
            deaths: deathsOf(suspects.state(), fingerprint).map(deathRow),
            quarantinedMs: until === undefined ? 0 : Math.ceil(until - clock.now()),
        };
    };

    const takeAnswer = async (request: RequestFingerprint, body: object): Promise<Ask["conflict"]> => {
        const { conflict, deaths, quarantinedMs } = Answer.parse(body);
        await Promise.all(deaths.map(death => takeDeath(suspects, clock, death)));
        if (quarantinedMs > 0) {
            await suspects.tell({ kind: "quarantine", request, remainingMs: quarantinedMs });
        }
        return conflict === "" ? undefined : conflict;
    };

    const askPeers = async ({ request, endpoint }: SuspectRun): Promise<Ask["conflict"]> => {
        const question = { fingerprint: request, endpoint, deaths: deathsOf(suspects.state(), request).map(deathRow) };
        const conflicts = await Promise.all(
            peers.peers().map(async ({ vm }) => {
                const answered = await peers.exchange(vm, "suspectRun", question, times.admitBoundMs);
                return answered.caseOf<Promise<Ask["conflict"]>>({
                    Left: () => Promise.resolve(undefined),
                    Right: body => takeAnswer(request, body),
                });
            }),
        );
        return conflicts.find(conflict => conflict === "request-busy") ?? conflicts.find(conflict => conflict);
    };

    const admitSuspect = async (request: RequestFingerprint, placement: Placement): Promise<Admission> => {
        await waitAtMost(probed(request), times.probedBoundMs);
        const { endpoint, dispatchId } = placement;
        const conflict = conflictOf([...runs(), ...asks.values()], { request, endpoint }, isSuspected);
        if (conflict !== undefined) {
            return conflict;
        }
        const ask: Ask = { request, endpoint, isAnswering: false, conflict: undefined };
        asks.set(dispatchId, ask);
        const elsewhere = await askPeers(ask);
        const refused = refuseSuspect(suspects.state(), request, clock.now()) === undefined
            ? undefined
            : "request-busy";
        const found = elsewhere ?? ask.conflict ?? refused;
        if (found !== undefined) {
            asks.delete(dispatchId);
        }
        return found ?? "admitted";
    };

    const admit: SuspectAdmission["admit"] = async (call, placement) => {
        const request = hasSuspects(suspects.state()) ? fingerprintModel(call) : undefined;
        if (request === undefined || !isSuspected(request)) {
            return "admitted";
        }
        const admission = await admitSuspect(request, placement);
        metrics.count("azureshunt_suspects_admitted_total", "Suspects asked about before a run, by result.", {
            result: admission,
        });
        return admission;
    };
    const stop = peers.handle("suspectRun", answer);
    return { admit, began: dispatch => void asks.delete(dispatch), stop };
}
