import { EitherAsync } from "purify-ts";
import { stringify } from "yaml";

import { callAdmin } from "../callAdmin.js";
import type { CliContext } from "../CliContext.js";
import type { CliFailure } from "../CliFailure.js";
import type { CliOutput } from "../CliOutput.js";
import type { Command } from "../Command.js";
import { listRows } from "../listRows.js";
import { table } from "../table.js";
import { whyRequest } from "../whyRequest.js";

const DEFAULT_INTERVAL_S = 2;
const MS_PER_S = 1_000;

/** A list of the administration API: its path, the field that holds it, and column headings by field of a row. */
type Listing = { readonly path: string; readonly field: string; readonly columns: Readonly<Record<string, string>>; };

const cellOf = (value: unknown): unknown => typeof value === "object" && value !== null ? JSON.stringify(value) : value;

const showList = (ctx: CliContext, { path, field, columns }: Listing): EitherAsync<CliFailure, CliOutput> =>
    callAdmin(ctx, "GET", path).map(({ body }) => ({
        lines: table(
            Object.values(columns),
            listRows(body, field).map(row => Object.keys(columns).map(name => cellOf(row[name]))),
        ),
        json: body,
    }));

const showAsYaml = (ctx: CliContext, path: string): EitherAsync<CliFailure, CliOutput> =>
    callAdmin(ctx, "GET", path).map(({ body }) => ({ lines: stringify(body).trimEnd().split("\n"), json: body }));

const VMS: Listing = {
    path: "/admin/v1/vms",
    field: "vms",
    columns: {
        vm: "VM",
        failureDomain: "FAILURE DOMAIN",
        state: "STATE",
        revision: "REVISION",
        confirmedMsAgo: "CONFIRMED MS AGO",
    },
};
const ORGANISATIONS: Listing = {
    path: "/admin/v1/organisations",
    field: "organisations",
    columns: { id: "ORGANISATION", rate: "RATE", burst: "BURST", weight: "WEIGHT", shares: "SHARES" },
};
const ENDPOINTS: Listing = {
    path: "/admin/v1/endpoints",
    field: "endpoints",
    columns: {
        name: "ENDPOINT",
        kind: "KIND",
        failureDomain: "FAILURE DOMAIN",
        health: "HEALTH",
        ready: "READY",
        leaving: "LEAVING",
        inFlight: "IN FLIGHT",
        failures: "FAILURES",
        url: "URL",
    },
};

const watch = (ctx: CliContext): EitherAsync<CliFailure, CliOutput> => {
    const interval = Number(ctx.options["interval"] ?? DEFAULT_INTERVAL_S);
    const count = Number(ctx.options["count"] ?? Number.POSITIVE_INFINITY);
    const intervalMs = (interval > 0 ? interval : DEFAULT_INTERVAL_S) * MS_PER_S;
    const round = (left: number): EitherAsync<CliFailure, CliOutput> =>
        showList(ctx, VMS).chain(output => {
            if (left <= 1) {
                return EitherAsync(() => Promise.resolve(output));
            }
            (ctx.options["json"] === true ? [JSON.stringify(output.json)] : [...output.lines, ""])
                .forEach(ctx.printLine);
            return EitherAsync<CliFailure, void>(() => ctx.sleep(intervalMs)).chain(() => round(left - 1));
        });
    return round(count);
};

/** Commands that only show state. */
const showCommands: readonly Command[] = [
    {
        usage: "organisation list",
        summary: "List organisations with their rates",
        example: "azureshunt organisation list",
        needsTarget: true,
        run: ctx => showList(ctx, ORGANISATIONS),
    },
    {
        usage: "organisation show <id>",
        summary: "Show an organisation, its keys, and what it spent as that VM knows it",
        example: "azureshunt organisation show chains",
        needsTarget: true,
        run: ctx => showAsYaml(ctx, `/admin/v1/organisations/${encodeURIComponent(ctx.args[0] ?? "")}`),
    },
    {
        usage: "endpoint list",
        summary: "List endpoints as that VM sees them",
        example: "azureshunt endpoint list",
        needsTarget: true,
        run: ctx => showList(ctx, ENDPOINTS),
    },
    {
        usage: "vm list",
        summary: "List the entry VMs and the revision that each has in force",
        example: "azureshunt vm list",
        needsTarget: true,
        run: ctx => showList(ctx, VMS),
    },
    {
        usage: "status",
        summary: "Show the VM that was asked and its revision",
        example: "azureshunt status --url http://10.0.0.1:7002",
        needsTarget: true,
        run: ctx => showAsYaml(ctx, "/admin/v1/status"),
    },
    {
        usage: "why <request>",
        summary: "Show what was considered for a request, each try, and what ended it; ask the VM that answered it",
        example: "azureshunt why 6f1c2c9e-0d0f-4a53-9d43-0a7f5b0f7a11",
        needsTarget: true,
        run: whyRequest,
    },
    {
        usage: "watch",
        summary: "Show the VMs again and again until interrupted",
        example: "azureshunt watch --interval 1",
        options: [
            { flag: "--interval <seconds>", description: `pause between two rounds (${DEFAULT_INTERVAL_S})` },
            { flag: "--count <rounds>", description: "end after so many rounds" },
        ],
        needsTarget: true,
        run: watch,
    },
];

export { showCommands };
