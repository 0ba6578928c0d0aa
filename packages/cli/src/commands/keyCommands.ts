import { EitherAsync, Left, Right } from "purify-ts";

import { callAdmin } from "../callAdmin.js";
import type { CliContext } from "../CliContext.js";
import type { CliFailure } from "../CliFailure.js";
import type { CliOutput } from "../CliOutput.js";
import type { Command } from "../Command.js";
import { exitCodes } from "../exitCodes.js";
import { failure } from "../failure.js";
import { listRows } from "../listRows.js";
import { table } from "../table.js";
import { waitUntilInForce } from "../waitUntilInForce.js";

const WAIT_MS = 10_000;

type Body = Readonly<Record<string, unknown>>;

const accepted = (body: Body): EitherAsync<CliFailure, Body> => {
    if (body["kind"] === "accepted") {
        return EitherAsync.liftEither(Right(body));
    }
    const isUnknown = body["kind"] === "not-known";
    const line = isUnknown
        ? "not known whether it was accepted; see `azureshunt key list`"
        : `not accepted: ${String(body["kind"])}`;
    return EitherAsync.liftEither(Left(failure(isUnknown ? "notKnown" : "failed", [line], body)));
};

const waitAndReport = (ctx: CliContext, body: Body, lines: readonly string[]): EitherAsync<CliFailure, CliOutput> =>
    waitUntilInForce(ctx, Number(body["revision"]), WAIT_MS).map(missing => ({
        lines: missing.vms.length === 0
            ? [...lines, "in force everywhere"]
            : [...lines, ctx.paint(`not in force yet on VMs ${missing.vms.join(", ")}`, "red")],
        json: { ...body, ...missing },
        code: missing.vms.length === 0 ? exitCodes.done : exitCodes.notEverywhere,
    }));

const giveKey: Command = {
    usage: "key give",
    summary: "Give a key of an organisation or an administration key, and show it once",
    example: "azureshunt key give --organisation chains --id chains-2",
    options: [
        { flag: "--organisation <id>", description: "organisation that the key belongs to" },
        { flag: "--id <id>", description: "id of the key; made up when left out" },
        { flag: "--admin", description: "give an administration key" },
    ],
    needsTarget: true,
    run: ctx => {
        const { organisation, id, admin } = ctx.options;
        if ((organisation === undefined) === (admin !== true)) {
            const lines = ["give either --organisation ID, or --admin for an administration key"];
            return EitherAsync.liftEither(Left<CliFailure, CliOutput>(failure("usage", lines)));
        }
        const body = JSON.stringify({
            organisation: organisation === undefined ? undefined : String(organisation),
            id: id === undefined ? undefined : String(id),
        });
        return callAdmin(ctx, "POST", "/admin/v1/keys", { body })
            .chain(reply => accepted(reply.body))
            .chain(given =>
                waitAndReport(ctx, given, [`key ${String(given["id"])}, shown only this once:`, String(given["key"])])
            );
    },
};

const withdrawKey: Command = {
    usage: "key withdraw <id>",
    summary: "Withdraw a key, and wait until it is refused everywhere",
    example: "azureshunt key withdraw chains-1",
    needsTarget: true,
    run: ctx => {
        const [id = ""] = ctx.args;
        return callAdmin(ctx, "DELETE", `/admin/v1/keys/${encodeURIComponent(id)}`)
            .chain(reply => accepted(reply.body))
            .chain(body => waitAndReport(ctx, body, [`key ${id} withdrawn, revision ${String(body["revision"])}`]));
    },
};

const listKeys: Command = {
    usage: "key list",
    summary: "List keys; neither keys nor digests are shown",
    example: "azureshunt key list",
    needsTarget: true,
    run: ctx =>
        callAdmin(ctx, "GET", "/admin/v1/keys").map(({ body }) => ({
            lines: table(
                ["KEY", "KIND", "ORGANISATION", "STATE"],
                listRows(body, "keys").map(key => [
                    key["id"],
                    key["kind"],
                    key["organisation"],
                    key["withdrawn"] === true ? ctx.paint("withdrawn", "yellow") : "valid",
                ]),
            ),
            json: body,
        })),
};

/** Commands that manage keys. */
const keyCommands: readonly Command[] = [giveKey, withdrawKey, listKeys];

export { keyCommands };
