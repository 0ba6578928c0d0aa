import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

import { RecordId, refusalOf } from "@azureshunt/core";
import type { ErrorKind, Refusal } from "@azureshunt/core";
import { digestKey, INTENT_LIMITS, partitionOf, standingOf, verdictOfTaken } from "@azureshunt/intent";
import type { IntentEntry, IntentOutcome, IntentStanding, KeyDigest, OwnerReply } from "@azureshunt/intent";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { IntentAdmission } from "../ports/IntentAdmission.js";
import type { RecordedAnswer } from "../ports/RecordedAnswer.js";
import { askOwner } from "./askOwner.js";
import { fingerprintService } from "./fingerprintService.js";
import type { IntentParts } from "./IntentParts.js";
import type { PartitionLog } from "./PartitionLog.js";

type Admitted = Either<Refusal, IntentAdmission>;

/** How often and how long a lost append is looked for, or a key about to become free is looked at again. */
const LOOK_AGAIN_MS = 50;

/** One request on its way to its key. */
type Admission = {
    readonly parts: IntentParts;
    readonly call: Call;
    readonly log: PartitionLog;
    readonly key: KeyDigest;
    readonly fingerprint: string;
};

const refuse = (kind: ErrorKind, detail?: string): Admitted => Left(refusalOf(kind, detail));

const ended = (outcome: IntentOutcome): Admitted => {
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
    return answer.body.length > INTENT_LIMITS.answerBytes ? { kind: "unkept" } : { kind: "answered", answer };
};

const isOver = ({ parts, call }: Admission): boolean => call.signal.aborted || parts.ctx.clock.now() >= call.deadline;

const ownReply = ({ parts }: Admission, entry: IntentEntry): OwnerReply => {
    const said = parts.own.reply(entry.intentId);
    if (said.phase === "withdrawn") {
        parts.recorder.withdrawAgain(entry.intentId);
    }
    return { incarnation: parts.ctx.incarnation, ...said };
};

/** Another intent holds the key: asks its writer. */
async function standBehind(admission: Admission, entry: IntentEntry): Promise<Admitted> {
    const { parts, log } = admission;
    const { ctx } = parts;
    const reply = entry.vm === ctx.settings.vm ? ownReply(admission, entry) : await askOwner(ctx, entry);
    const isListed = ctx.membership.members().some(member => member.vm === entry.vm);
    const verdict = verdictOfTaken(entry, reply, isListed, log.view().lastAt);
    switch (verdict.kind) {
        case "running":
            return refuse("intent-running", reply === undefined ? `${entry.vm} cannot be reached.` : undefined);
        case "ended":
            return ended(verdict.outcome);
        case "retry": {
            await sleep(LOOK_AGAIN_MS);
            return isOver(admission) ? refuse("intent-running") : approach(admission);
        }
    }
}

function dispatchUnder({ parts, key }: Admission, intentId: RecordId): Admitted {
    const { ctx, own, recorder } = parts;
    return Right({
        kind: "dispatch",
        begin: () => own.begin(intentId, ctx.clock.now()),
        notRun: () => own.reopen(intentId),
        complete: answer => recorder.end(intentId, key, outcomeOf(answer)),
        withdraw: () => recorder.withdraw(intentId, key),
    });
}

function followStanding(
    admission: Admission,
    standing: IntentStanding,
    intentId: RecordId | undefined,
): Promise<Admitted> {
    switch (standing.kind) {
        case "owner":
            return Promise.resolve(
                intentId === undefined ? refuse("intent-running") : dispatchUnder(admission, intentId),
            );
        case "free":
            return isOver(admission) ? Promise.resolve(refuse("deadline-exceeded")) : writeIntent(admission);
        case "reused":
            return Promise.resolve(refuse("intent-key-reused"));
        case "window-lost":
            return Promise.resolve(refuse("intent-window-lost"));
        case "ended":
            return Promise.resolve(ended(standing.outcome));
        case "taken":
            return standBehind(admission, standing.entry);
    }
}

/** Looks for a record until it has been read back, the log fails, or the call's time is over. */
async function readBack(admission: Admission, isSeen: () => boolean): Promise<boolean> {
    const caught = await admission.log.catchUp();
    if (isSeen()) {
        return true;
    }
    if (caught.isLeft() || isOver(admission)) {
        return false;
    }
    await sleep(LOOK_AGAIN_MS);
    return readBack(admission, isSeen);
}

/**
 * Writes the request's intent and goes by what the log says of it.
 *
 * Failure: the log takes the intent and loses the answer. It shows as an append whose effect is not known. Guard: only
 * the record as read back counts; an intent that is not read back in time is given up here before anything is answered,
 * so that it can never begin, and then withdrawn by record.
 */
async function writeIntent(admission: Admission): Promise<Admitted> {
    const { parts, call, log, key, fingerprint } = admission;
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
    const isBack = await readBack(admission, isSeen);
    log.unwatch(intentId);
    if (!isBack) {
        await recorder.withdraw(intentId, key);
        return refuse("log-unavailable");
    }
    const standing = standingOf(log.view(), { key, fingerprint, intentId }, INTENT_LIMITS.windowMs);
    if (standing.kind === "window-lost") {
        await recorder.withdraw(intentId, key);
    }
    else if (standing.kind !== "owner") {
        own.forget(intentId);
    }
    return followStanding(admission, standing, intentId);
}

/** Reads the log and looks how the request stands. */
async function approach(admission: Admission): Promise<Admitted> {
    const { log, key, fingerprint } = admission;
    const caught = await log.catchUp();
    return caught.caseOf<Promise<Admitted>>({
        Left: () => Promise.resolve(refuse("log-unavailable")),
        Right: view =>
            followStanding(
                admission,
                standingOf(view, { key, fingerprint, intentId: undefined }, INTENT_LIMITS.windowMs),
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
        ? await approach({ parts, call, log: parts.partition(partitionOf(key)), key, fingerprint })
        : refuse(running.fingerprint === fingerprint ? "intent-running" : "intent-key-reused");
    const result = admitted.caseOf({ Left: refused => refused.kind as string, Right: ({ kind }) => kind });
    parts.ctx.metrics.count("azureshunt_intents_total", "Calls with an idempotency key, by what came of them.", {
        result,
    });
    return admitted;
}
