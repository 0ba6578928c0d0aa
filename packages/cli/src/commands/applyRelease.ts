import { randomUUID } from "node:crypto";

import { EitherAsync, Left, Right } from "purify-ts";

import { callAdmin } from "../callAdmin.js";
import type { CliContext } from "../CliContext.js";
import type { CliFailure } from "../CliFailure.js";
import type { CliOutput } from "../CliOutput.js";
import type { Command } from "../Command.js";
import { exitCodes } from "../exitCodes.js";
import { failure } from "../failure.js";
import { listRows } from "../listRows.js";
import { readText } from "../readText.js";
import { releaseNoteFailure } from "../releaseNoteFailure.js";
import { waitUntilInForce } from "../waitUntilInForce.js";

const DEFAULT_WAIT_S = 10;
const MS_PER_S = 1_000;
const CHANGE_MARKS: Readonly<Record<string, string>> = { added: "+", changed: "~", withdrawn: "-" };

type Body = Readonly<Record<string, unknown>>;

const changeLine = (change: Body): string => {
    const fields = Array.isArray(change["fields"]) ? change["fields"].join(", ") : "";
    const mark = CHANGE_MARKS[String(change["change"])] ?? "?";
    return `${mark} ${String(change["kind"])} ${String(change["id"])}${fields === "" ? "" : ` (${fields})`}`;
};

/** Turns any outcome but `accepted` and `valid` into a failure with its message and exit code. */
const checkOutcome = (file: string, body: Body): EitherAsync<CliFailure, Body> => {
    const fail = (why: CliFailure) => EitherAsync.liftEither(Left<CliFailure, Body>(why));
    switch (body["kind"]) {
        case "accepted":
        case "valid":
            return EitherAsync.liftEither(Right(body));
        case "invalid":
            return fail(releaseNoteFailure(file, (body["faults"] ?? []) as Parameters<typeof releaseNoteFailure>[1]));
        case "stale":
            return fail(failure("conflict", [
                `conflict: the note was written against another revision than ${
                    String(body["revision"])
                }, now in force`,
            ], body));
        case "conflict": {
            const changed = Array.isArray(body["changed"]) ? body["changed"].join(", ") : "";
            return fail(failure("conflict", [
                `conflict: written against revision ${String(body["base"])}, now ${String(body["revision"])}; `
                + `meanwhile: ${changed}`,
            ], body));
        }
        case "not-known":
            return fail(failure("notKnown", [
                "not known whether the note was accepted: the log's answer was lost; run the same command again",
            ], body));
        default:
            return fail(
                failure("failed", ["not accepted: the platform's log cannot be reached; nothing was changed"], body),
            );
    }
};

const post = (ctx: CliContext, file: string, text: string, query: string, id?: string): EitherAsync<CliFailure, Body> =>
    callAdmin(ctx, "POST", `/admin/v1/releases?${query}`, { body: text, idempotencyKey: id })
        .chain(({ body }) => checkOutcome(file, body));

/** Changes the exit code of a lost answer to `notKnown`, as the note had been sent and may have been accepted. */
const withUnknownOutcome = (why: CliFailure): CliFailure =>
    why.code === exitCodes.failed && why.json === undefined
        ? {
            ...why,
            code: exitCodes.notKnown,
            lines: [...why.lines, "not known whether the note was accepted; run it again"],
        }
        : why;

const waitMsOf = (options: CliContext["options"]): number => {
    const seconds = Number(options["wait"] ?? DEFAULT_WAIT_S);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * MS_PER_S : DEFAULT_WAIT_S * MS_PER_S;
};

const waitAndReport = (ctx: CliContext, body: Body, lines: readonly string[]): EitherAsync<CliFailure, CliOutput> => {
    const revision = Number(body["revision"]);
    const startedAt = ctx.now();
    const waitMs = waitMsOf(ctx.options);
    return waitUntilInForce(ctx, revision, waitMs).map(missing => {
        const json = { kind: "accepted", revision, unchanged: body["unchanged"] === true, ...missing };
        const outcome = body["unchanged"] === true ? "nothing to change" : "accepted";
        const first = [...lines, `${outcome}, revision ${revision}`];
        if (missing.vms.length === 0) {
            const elapsedS = ((ctx.now() - startedAt) / MS_PER_S).toFixed(1);
            return { lines: [...first, ctx.paint(`in force everywhere after ${elapsedS} s`, "green")], json };
        }
        const where = `not in force after ${waitMs / MS_PER_S} s on VMs ${missing.vms.join(", ")} `
            + `(failure domains ${missing.failureDomains.join(", ")})`;
        return { lines: [...first, ctx.paint(where, "red")], json, code: exitCodes.notEverywhere };
    });
};

/** `release apply`: shows the difference, appends the note, and waits until it is in force on all VMs. */
const applyRelease: Command = {
    usage: "release apply <file>",
    summary: "Show the difference, apply a release note, and wait until it is in force everywhere",
    example: "azureshunt release apply note.yaml --wait 7",
    options: [
        { flag: "--dry-run", description: "only show the difference" },
        { flag: "--wait <seconds>", description: `how long to wait until it is in force (${DEFAULT_WAIT_S})` },
    ],
    needsTarget: true,
    run: ctx =>
        EitherAsync.liftEither(readText(ctx.args[0] ?? "")).chain(text => {
            const file = ctx.args[0] ?? "";
            return post(ctx, file, text, "dry-run=1").chain(dry => {
                const lines = listRows(dry, "changes").map(changeLine);
                if (ctx.options["dryRun"] === true) {
                    const against = `checked against revision ${String(dry["revision"])}; nothing sent to the log`;
                    return EitherAsync.liftEither(Right({ lines: [...lines, against], json: dry }));
                }
                return post(ctx, file, text, `base=${String(dry["revision"])}`, randomUUID())
                    .mapLeft(withUnknownOutcome)
                    .chain(body => waitAndReport(ctx, body, lines));
            });
        }),
};

export { applyRelease };
