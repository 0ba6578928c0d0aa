// Measures the memory of a VM while callers read nothing and endpoints never end, and the healthy requests beside them:
// node scripts/measureHeldBytes.mjs [--callers 40,200,1000] [--case NAME] [--json FILE], after a build. The bundled
// program runs unless AZURESHUNT_PROGRAM names another one.
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";

process.env.AZURESHUNT_PROGRAM ??= fileURLToPath(new URL("../target/azureshunt.cjs", import.meta.url));
const { runFlowCase } = await import("../platform/dist/__tests__/support/runFlowCase.js");

const MB = 1024 * 1024;
const { values } = parseArgs({
    options: {
        "callers": { type: "string", default: "40,200,1000" },
        "case": { type: "string" },
        "for": { type: "string", default: "4000" },
        "memory": { type: "string", default: "250" },
        "json": { type: "string" },
    },
});
const counts = values.callers.split(",").map(Number);
const cases = [
    ...counts.flatMap(callers => [
        { name: "stream", path: "/tag/large", callers, bytes: MB, readsPerSecond: 0 },
        { name: "stream-once", path: "/once/large", callers, bytes: MB, readsPerSecond: 0 },
        { name: "plain", path: "/look/large", callers, bytes: 6 * MB, readsPerSecond: 0 },
        { name: "plain-once", path: "/desk/large", callers, bytes: 6 * MB, readsPerSecond: 0 },
    ]),
    ...["look/endless-body", "tag/endless-event", "look/endless-head", "look/blank-lines-before", "tag/blank-lines"]
        .concat(["look/endless-103", "look/drip"])
        .map(path => ({ name: path.split("/")[1], path: `/${path}`, callers: 6, bytes: MB, readsPerSecond: Infinity })),
].filter(({ name }) => values.case === undefined || values.case === name);

const rows = [];
for (const each of cases) {
    const forMs = Number(values.for);
    const moreSettings = { memoryMb: Number(values.memory), progressMs: 1_500 };
    const { output, ended, unserved, ...row } = await runFlowCase({ ...each, forMs, moreSettings });
    const refusals = (output.match(/(?<="reason":")[a-z-]+/g) ?? []).reduce((all, reason) => {
        all[reason] = (all[reason] ?? 0) + 1;
        return all;
    }, {});
    const longestMs = Math.max(0, ...ended.map(({ ms }) => ms));
    const fault = /"type":"[A-Za-z]*Error".*?"stack":"[^"]*"/.exec(output)?.[0];
    if (fault !== undefined) {
        console.log(fault);
    }
    rows.push({
        name: each.name,
        callers: each.callers,
        ...row,
        ended: ended.length,
        longestMs,
        refusals,
        unserved: unserved.slice(0, 5),
    });
    console.log(JSON.stringify(rows.at(-1)));
}
if (values.json !== undefined) {
    writeFileSync(values.json, `${JSON.stringify(rows, undefined, 4)}\n`);
}
