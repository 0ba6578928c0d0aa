import { EitherAsync, Left } from "purify-ts";
import { stringify } from "yaml";

import { callAdmin } from "../callAdmin.js";
import type { CliFailure } from "../CliFailure.js";
import type { CliOutput } from "../CliOutput.js";
import type { Command } from "../Command.js";
import { exitCodes } from "../exitCodes.js";
import { failure } from "../failure.js";
import { listRows } from "../listRows.js";
import { table } from "../table.js";
import { applyRelease } from "./applyRelease.js";
import { checkRelease } from "./checkRelease.js";

const timeOf = (at: unknown): string => typeof at === "number" ? new Date(at).toISOString() : "-";

const statusRelease: Command = {
    usage: "release status",
    summary: "Show which VMs and failure domains have the newest revision in force",
    example: "azureshunt release status",
    needsTarget: true,
    run: ctx =>
        callAdmin(ctx, "GET", "/admin/v1/status?fleet=1").map(({ body }): CliOutput => {
            const mark = (isInForce: unknown): string =>
                isInForce === true ? ctx.paint("yes", "green") : ctx.paint("no", "red");
            const domains = listRows(body, "failureDomains").map(each => [
                each["failureDomain"],
                `${String(each["confirmed"])} of ${String(each["vms"])}`,
                mark(each["inForce"]),
            ]);
            const vms = listRows(body, "vms").map(each => [
                each["vm"],
                each["failureDomain"],
                each["revision"] ?? "no answer",
                mark(each["inForce"]),
                each["confirmedMsAgo"],
            ]);
            return {
                lines: [
                    `revision ${String(body["revision"])}`,
                    "",
                    ...table(["FAILURE DOMAIN", "VMS", "IN FORCE"], domains),
                    "",
                    ...table(["VM", "FAILURE DOMAIN", "REVISION", "IN FORCE", "CONFIRMED MS AGO"], vms),
                ],
                json: body,
                code: body["inForce"] === true ? exitCodes.done : exitCodes.notEverywhere,
            };
        }),
};

const listReleases: Command = {
    usage: "release list",
    summary: "List the releases accepted lately",
    example: "azureshunt release list --json",
    needsTarget: true,
    run: ctx =>
        callAdmin(ctx, "GET", "/admin/v1/releases").map(({ body }) => ({
            lines: table(
                ["REVISION", "AT", "ITEMS", "NOTE"],
                listRows(body, "releases").map(each => [
                    each["revision"],
                    timeOf(each["at"]),
                    each["touchedCount"],
                    each["note"],
                ]),
            ),
            json: body,
        })),
};

const showRelease: Command = {
    usage: "release show <revision>",
    summary: "Show a release and what it touched",
    example: "azureshunt release show 12",
    needsTarget: true,
    run: ctx => {
        const [revision = ""] = ctx.args;
        return /^\d+$/.test(revision)
            ? callAdmin(ctx, "GET", `/admin/v1/releases/${revision}`).map(({ body }) => ({
                lines: stringify(body).trimEnd().split("\n"),
                json: body,
            }))
            : EitherAsync.liftEither(Left<CliFailure, CliOutput>(
                failure("usage", [`revision: found ${JSON.stringify(revision)}; allowed: a whole number`]),
            ));
    },
};

const exportRelease: Command = {
    usage: "release export",
    summary: "Print the whole configuration as one release note",
    example: "azureshunt release export > all.yaml",
    needsTarget: true,
    run: ctx =>
        callAdmin(ctx, "GET", "/admin/v1/configuration").map(({ body }) => ({
            lines: stringify(body).trimEnd().split("\n"),
            json: body,
        })),
};

/** Commands that manage releases. */
const releaseCommands: readonly Command[] = [
    checkRelease,
    applyRelease,
    statusRelease,
    listReleases,
    showRelease,
    exportRelease,
];

export { releaseCommands };
