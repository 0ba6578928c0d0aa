import type { EitherAsync } from "purify-ts";

import { callAdmin } from "./callAdmin.js";
import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import type { CliOutput } from "./CliOutput.js";
import { listRows } from "./listRows.js";
import { table } from "./table.js";

type Fields = Readonly<Record<string, unknown>>;

const HEADING = ["ENDPOINT", "TOTAL MS", "WAIT", "PREFILL", "NETWORK", "COLD START", "CACHED PIECES", ""];
const ESTIMATES = ["total", "wait", "prefill", "network", "coldStart"];

const fieldsOf = (value: unknown): Fields => typeof value === "object" && value !== null ? value as Fields : {};

const formatMs = (value: unknown): string => typeof value === "number" ? value.toFixed(1) : "-";

const choiceLines = (choice: Fields, index: number): readonly string[] => {
    const rows = listRows(choice, "candidates").map(candidate => {
        const estimate = fieldsOf(candidate["estimate"]);
        return [
            candidate["endpoint"],
            ...ESTIMATES.map(part => formatMs(estimate[part])),
            candidate["matchedPieces"],
            candidate["endpoint"] === choice["chosen"] ? "chosen" : "",
        ];
    });
    const heading = `choice ${index + 1}: ${String(choice["chosen"])} after ${
        formatMs(choice["waitedMs"])
    } ms in the queue`;
    return ["", heading, ...table(HEADING, rows)];
};

const eventLine = (event: Fields): string => {
    const values = Object.entries(fieldsOf(event["values"])).map(([name, value]) => `${name}=${String(value)}`);
    const at = typeof event["at"] === "number" ? new Date(event["at"]).toISOString() : "-";
    return [at, String(event["what"]), ...values].join("  ");
};

/** Shows the events of a request that a VM has in memory, and each placement choice with its candidates' estimates. */
export function whyRequest(ctx: CliContext): EitherAsync<CliFailure, CliOutput> {
    const path = `/admin/v1/requests/${encodeURIComponent(ctx.args[0] ?? "")}`;
    return callAdmin(ctx, "GET", path).map(({ body }) => ({
        lines: [
            `request ${String(body["id"])} on VM ${String(body["vm"])}`,
            ...listRows(body, "events").map(eventLine),
            ...listRows(body, "choices").flatMap(choiceLines),
        ],
        json: body,
    }));
}
