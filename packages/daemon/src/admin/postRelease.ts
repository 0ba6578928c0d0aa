import { RecordId, type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration, LocatedFault, ParsedDocument, ReleaseNote } from "@azureshunt/release";
import {
    applyNote,
    diffConfiguration,
    isInForce,
    parseReleaseNote,
    pathText,
    sortFaults,
    validateNote,
} from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { ok } from "./ok.js";
import { verdictAnswer } from "./verdictAnswer.js";
import { waitForConfiguration } from "./waitForConfiguration.js";

const STATUS_INVALID = 400;

type Parsed = ParsedDocument<ReleaseNote>;

const invalid = (faults: readonly LocatedFault[]): Either<Refusal, AdminAnswer> =>
    Right({
        status: STATUS_INVALID,
        body: {
            kind: "invalid",
            faults: faults.map(fault => ({ ...fault, path: pathText(fault.path) })),
        },
    });

const idOf = (call: AdminCall): Either<Refusal, RecordId | undefined> => {
    if (call.idempotencyKey === undefined) {
        return Right(undefined);
    }
    const parsed = RecordId.safeParse(call.idempotencyKey);
    return parsed.success ? Right(parsed.data) : Left(refusalOf("bad-request", "idempotency-key: not an id"));
};

/** Returns the note's base revision, else that of the query: the revision the caller saw the difference against. */
const baseOf = (call: AdminCall, note: ReleaseNote): number | undefined => {
    const baseText = call.query.get("base");
    return note.base ?? (baseText !== null && /^\d+$/.test(baseText) ? Number(baseText) : undefined);
};

const checkAndAppend = async (
    parts: AdminParts,
    call: AdminCall,
    cfg: Configuration,
    parsed: Parsed,
): Promise<Either<Refusal, AdminAnswer>> => {
    const note = { ...parsed.value, base: baseOf(call, parsed.value) };
    const { revision } = cfg;
    const isDryRun = call.query.get("dry-run") === "1";
    if (isInForce(cfg, note)) {
        return ok({ kind: isDryRun ? "valid" : "accepted", revision, unchanged: true, changes: [] });
    }
    const faults = validateNote(cfg, note);
    const isStale = note.base !== undefined && note.base !== revision;
    if (faults.length > 0 && !isStale) {
        return invalid(sortFaults(faults.map(parsed.locate)));
    }
    if (isDryRun) {
        const changes = isStale ? [] : diffConfiguration(cfg, applyNote(cfg, note));
        return ok({ kind: isStale ? "stale" : "valid", revision, unchanged: false, changes });
    }
    const id = idOf(call);
    return id.isLeft()
        ? Left(id.extract() as Refusal)
        : verdictAnswer(await parts.release.accept(note, id.extract() as RecordId | undefined));
};

/** Validates a release note and, unless it is a dry run, appends it and answers with the outcome. */
export async function postRelease(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const parsed = parseReleaseNote(call.body.toString("utf8"));
    if (parsed.isLeft()) {
        return invalid(parsed.extract() as readonly LocatedFault[]);
    }
    const cfg = await waitForConfiguration(parts);
    return cfg.isLeft()
        ? Left(cfg.extract() as Refusal)
        : await checkAndAppend(parts, call, cfg.extract() as Configuration, parsed.extract() as Parsed);
}
