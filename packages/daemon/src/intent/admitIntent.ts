import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

import { RecordId, refusalOf } from "@azureshunt/core";
import type { ErrorKind, Refusal } from "@azureshunt/core";
import { decideTakenKey, digestKey, INTENT_LIMITS, keyStatusOf, partitionOf } from "@azureshunt/intent";
import type { IntentEntry, IntentOutcome, KeyDigest, KeyStatus, OwnerReply } from "@azureshunt/intent";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { IntentAdmission } from "../ports/IntentAdmission.js";
import type { RecordedAnswer } from "../ports/RecordedAnswer.js";
import { fingerprintService } from "./fingerprintService.js";
import type { IntentParts } from "./IntentParts.js";
import type { PartitionLog } from "./PartitionLog.js";
import { queryOwner } from "./queryOwner.js";

type Admitted = Either<Refusal, IntentAdmission>;

/** Time to the next check for a lost append, or of a key that is about to become free. */
const RECHECK_MS = 50;

/** A request that tries to obtain its idempotency key. */
type IntentAttempt = {
    readonly parts: IntentParts;
    readonly call: Call;
    readonly log: PartitionLog;
    readonly key: KeyDigest;
    readonly fingerprint: string;
};

const refuse = (kind: ErrorKind, detail?: string): Admitted => Left(refusalOf(kind, detail));

const admitEnded = (outcome: IntentOutcome): Admitted => {
    switch (outcome.kind) {
        case "answered": {
            const { status, contentType, body } = outcome.answer;
            return Right({ kind: "recorded", answer: { status, contentType, body } });
        }
        case "unkept":
            return Left(
                refusalOf("intent-outcome-unknown", "It ran; its answer was too large to keep.", { ran: "yes" }),
            );
        case "unknown":
            return refuse("intent-outcome-unknown");
    }
};

const outcomeOf = (answer: RecordedAnswer | undefined): IntentOutcome => {
    if (answer === undefined) {
        return { kind: "unknown" };
    }
    return answer.body.length > INTENT_LIMITS.maxAnswerLength ? { kind: "unkept" } : { kind: "answered", answer };
};

const isOver = ({ parts, call }: IntentAttempt): boolean =>
    call.signal.aborted || parts.ctx.clock.now() >= call.deadline;

const ownReply = ({ parts }: IntentAttempt, entry: IntentEntry): OwnerReply => {
    const reply = parts.own.reply(entry.intentId);
    if (reply.phase === "withdrawn") {
        parts.recorder.repeatWithdrawal(entry.intentId);
    }
    return { incarnation: parts.ctx.incarnation, ...reply };
};

/** Decides on a request whose key another intent holds, after querying the VM that wrote that intent. */
async function resolveTakenKey(attempt: IntentAttempt, entry: IntentEntry): Promise<Admitted> {
    const { parts, log } = attempt;
    const { ctx } = parts;
    const reply = entry.vm === ctx.settings.vm ? ownReply(attempt, entry) : await queryOwner(ctx, entry);
    const isListed = ctx.membership.members().some(member => member.vm === entry.vm);
    const decision = decideTakenKey(entry, reply, isListed, log.view().lastAt);
    switch (decision.kind) {
        case "running":
            return refuse("intent-running", reply === undefined ? `${entry.vm} cannot be reached.` : undefined);
        case "ended":
            return admitEnded(decision.outcome);
        case "retry": {
            await sleep(RECHECK_MS);
            return isOver(attempt) ? refuse("intent-running") : admitByLog(attempt);
        }
    }
}

function dispatchAdmission({ parts, key }: IntentAttempt, intentId: RecordId): Admitted {
    const { ctx, own, recorder } = parts;
    return Right({
        kind: "dispatch",
        begin: () => own.begin(intentId, ctx.clock.now()),
        notRun: () => own.reopen(intentId),
        complete: answer => recorder.recordOutcome(intentId, key, outcomeOf(answer)),
        withdraw: () => recorder.withdraw(intentId, key),
    });
}

function admitByStatus(
    attempt: IntentAttempt,
    status: KeyStatus,
    intentId: RecordId | undefined,
): Promise<Admitted> {
    switch (status.kind) {
        case "owner":
            return Promise.resolve(
                intentId === undefined ? refuse("intent-running") : dispatchAdmission(attempt, intentId),
            );
        case "free":
            return isOver(attempt) ? Promise.resolve(refuse("deadline-exceeded")) : writeIntent(attempt);
        case "reused":
            return Promise.resolve(refuse("intent-key-reused"));
        case "window-lost":
            return Promise.resolve(refuse("intent-window-lost"));
        case "ended":
            return Promise.resolve(admitEnded(status.outcome));
        case "taken":
            return resolveTakenKey(attempt, status.entry);
    }
}

/** Reads the log until a record has been read back, the log fails, or the call is over; returns whether it was read. */
async function readBack(attempt: IntentAttempt, isSeen: () => boolean): Promise<boolean> {
    const read = await attempt.log.catchUp();
    if (isSeen()) {
        return true;
    }
    if (read.isLeft() || isOver(attempt)) {
        return false;
    }
    await sleep(RECHECK_MS);
    return readBack(attempt, isSeen);
}

/**
 * Writes the request's intent, reads it back and decides by the log's state.
 *
 * The log may accept the intent while its answer is lost. Symptom: an append whose effect is unknown. Therefore only the
 * record as read back counts. An intent that is not read back in time is withdrawn in this process before the caller is
 * answered, so that it can never begin, and then withdrawn by a record.
 */
async function writeIntent(attempt: IntentAttempt): Promise<Admitted> {
    const { parts, call, log, key, fingerprint } = attempt;
    const { ctx, own, recorder } = parts;
    const intentId = RecordId.parse(randomUUID());
    own.open(intentId, key, fingerprint, ctx.clock.now());
    const isSeen = log.watch(intentId);
    const appended = await log.append(intentId, {
        type: "intent",
        organisation: call.organisation,
        key,
        fingerprint,
        vm: ctx.settings.vm,
        incarnation: ctx.incarnation,
    });
    if (appended.extract() === "unreachable") {
        log.unwatch(intentId);
        own.forget(intentId);
        return refuse("log-unavailable");
    }
    const isReadBack = await readBack(attempt, isSeen);
    log.unwatch(intentId);
    if (!isReadBack) {
        await recorder.withdraw(intentId, key);
        return refuse("log-unavailable");
    }
    const status = keyStatusOf(log.view(), { key, fingerprint, intentId }, INTENT_LIMITS.windowMs);
    if (status.kind === "window-lost") {
        await recorder.withdraw(intentId, key);
    }
    else if (status.kind !== "owner") {
        own.forget(intentId);
    }
    return admitByStatus(attempt, status, intentId);
}

/** Reads the log and decides by the status of the request's key. */
async function admitByLog(attempt: IntentAttempt): Promise<Admitted> {
    const { log, key, fingerprint } = attempt;
    const read = await log.catchUp();
    return read.caseOf<Promise<Admitted>>({
        Left: () => Promise.resolve(refuse("log-unavailable")),
        Right: view =>
            admitByStatus(
                attempt,
                keyStatusOf(view, { key, fingerprint, intentId: undefined }, INTENT_LIMITS.windowMs),
                undefined,
            ),
    });
}

/** Decides whether a call with an idempotency key may be dispatched under an intent of this process. */
export async function admitIntent(parts: IntentParts, call: Call): Promise<Admitted> {
    const { target } = call;
    if (target.kind !== "service" || target.idempotencyKey === undefined) {
        return refuse("bad-request", "This call has no idempotency key.");
    }
    const key = digestKey(call.organisation, target.idempotencyKey);
    const fingerprint = fingerprintService(target);
    const running = parts.own.running(key);
    const admitted = running === undefined
        ? await admitByLog({ parts, call, log: parts.partition(partitionOf(key)), key, fingerprint })
        : refuse(running.fingerprint === fingerprint ? "intent-running" : "intent-key-reused");
    const result = admitted.caseOf({ Left: refusal => refusal.kind as string, Right: ({ kind }) => kind });
    parts.ctx.metrics.count("azureshunt_intents_total", "Calls with an idempotency key, by what came of them.", {
        result,
    });
    return admitted;
}
