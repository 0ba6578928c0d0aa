// Checks every specification with Spin: unchanged, where no violation may be found, and with one guard removed, where a
// violation must be found. Prints a line for each run and exits with 1 if a run does not end as expected.
// `node scripts/checkModels.mjs NAME` checks only the files whose path contains NAME.
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

import { setUpModelChecker } from "./setup.mjs";

// One row per run: `defines` removes guards, `expected` is the required result. A row may give further options for pan,
// such as `pan: ["-a", "-f", "-N", "claim"]` for a liveness claim.
const CONFIGURATION = "spec/configuration.pml";
const INTENT = "spec/intent.pml";
const LEASE = "spec/lease.pml";
const ALLOWANCE = "spec/allowance.pml";
const ORDER_LEASE = "spec/orderLease.pml";
const LATE_ORDERS = "spec/lateOrders.pml";
const KEY_FRESHNESS = "spec/keyFreshness.pml";
const RELAY_READ = "spec/relayRead.pml";
const RELAY_COUNTS = "spec/relayCounts.pml";
const ROLLOUT = "spec/rollout.pml";
const ROLLOUT_STATUS = "spec/rolloutStatus.pml";
const ROWS = [
    { file: ROLLOUT, defines: [], expected: "clean" },
    { file: ROLLOUT, defines: ["NO_RANK"], expected: "violation" },
    { file: ROLLOUT, defines: ["NO_FRESH"], expected: "violation" },
    { file: ROLLOUT, defines: ["NO_ECHO"], expected: "violation" },
    { file: ROLLOUT_STATUS, defines: [], expected: "clean" },
    { file: ROLLOUT_STATUS, defines: ["NO_CONDITION"], expected: "violation" },
    { file: CONFIGURATION, defines: [], expected: "clean" },
    { file: CONFIGURATION, defines: ["NO_BASE"], expected: "violation" },
    { file: CONFIGURATION, defines: ["NO_REPEAT"], expected: "violation" },
    { file: CONFIGURATION, defines: ["NO_GAP"], expected: "violation" },
    { file: CONFIGURATION, defines: ["NO_FURTHER"], expected: "violation" },
    { file: CONFIGURATION, defines: ["NO_IDS"], expected: "violation" },
    { file: CONFIGURATION, defines: ["NO_REFRESH"], expected: "violation" },
    { file: ALLOWANCE, defines: [], expected: "clean" },
    { file: ALLOWANCE, defines: ["NO_SEQ"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_PENDING"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_ASKED"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_OUTSTANDING"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_DEBIT"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_BOUND"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_WAIT"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_EMPTY"], expected: "violation" },
    { file: ALLOWANCE, defines: ["NO_LAPSING"], expected: "violation" },
    { file: INTENT, defines: [], expected: "clean" },
    { file: INTENT, defines: ["ANY_INTENT"], expected: "violation" },
    { file: INTENT, defines: ["TAKE_OVER"], expected: "violation" },
    { file: INTENT, defines: ["BEGIN_WITHDRAWN"], expected: "violation" },
    { file: INTENT, defines: ["WITHDRAW_BEGUN"], expected: "violation" },
    { file: LEASE, defines: [], expected: "clean" },
    { file: LEASE, defines: ["NO_AFTER"], expected: "violation" },
    { file: LEASE, defines: ["NO_WAIT"], expected: "violation" },
    { file: LEASE, defines: ["NO_FENCING"], expected: "violation" },
    { file: ORDER_LEASE, defines: [], expected: "clean" },
    { file: ORDER_LEASE, defines: ["NO_WAIT"], expected: "violation" },
    { file: ORDER_LEASE, defines: ["NO_CONDITION"], expected: "violation" },
    { file: ORDER_LEASE, defines: ["NO_PAUSE"], expected: "violation" },
    { file: ORDER_LEASE, defines: ["NO_ASKED"], expected: "violation" },
    { file: ORDER_LEASE, defines: ["NO_VOID"], expected: "violation" },
    { file: LATE_ORDERS, defines: [], expected: "clean" },
    { file: LATE_ORDERS, defines: ["NO_EXPECT"], expected: "violation" },
    { file: LATE_ORDERS, defines: ["NO_HOLD"], expected: "violation" },
    { file: LATE_ORDERS, defines: ["NO_STATED"], expected: "violation" },
    { file: LATE_ORDERS, defines: ["NO_PERMIT"], expected: "violation" },
    { file: LATE_ORDERS, defines: ["NO_INHERIT"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: [], expected: "clean" },
    { file: KEY_FRESHNESS, defines: ["NO_HELD"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: ["NO_ASKED"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: ["NO_ECHO"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: ["NO_AGE"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: ["NO_PAUSE"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: ["NO_LATER"], expected: "violation" },
    { file: KEY_FRESHNESS, defines: ["NO_VOID"], expected: "violation" },
    { file: RELAY_READ, defines: [], expected: "clean" },
    { file: RELAY_READ, defines: ["NO_ASKED"], expected: "violation" },
    { file: RELAY_READ, defines: ["NO_AGE"], expected: "violation" },
    { file: RELAY_READ, defines: ["NO_PAUSE"], expected: "violation" },
    { file: RELAY_COUNTS, defines: [], expected: "clean" },
    { file: RELAY_COUNTS, defines: ["NO_FOLLOW"], expected: "violation" },
    { file: RELAY_COUNTS, defines: ["NO_MARK"], expected: "violation" },
    { file: RELAY_COUNTS, defines: ["NO_BEFORE"], expected: "violation" },
];

const MAX_DEPTH = "1000000";
/** Number of searches that run at once; each may use up to the memory limit below. */
const MAX_CONCURRENT = 3;
const MEMORY_MB = 4_096;
/** Ends a verifier that hangs. The largest search takes two minutes beside other work. */
const TIMEOUT_MS = 600_000;

/** Runs a command; resolves with its exit status and output, also if it could not be started or timed out. */
const call = (cwd, command, args) =>
    new Promise(done => {
        const child = spawn(command, args, { cwd, timeout: TIMEOUT_MS });
        const output = [];
        child.stdout.on("data", data => output.push(data));
        child.stderr.on("data", data => output.push(data));
        child.once("error", err => output.push(Buffer.from(err.message)));
        child.once("close", status => done({ status, text: Buffer.concat(output).toString("utf8") }));
    });

/** Generates, compiles and runs the verifier of a row in the given folder. */
async function search(row, folder) {
    const defines = row.defines.map(name => `-D${name}`);
    const generated = await call(folder, "spin", ["-a", ...defines, resolve(row.file)]);
    if (generated.status !== 0) {
        return { outcome: "spin failed", text: generated.text };
    }
    const options = [...(row.gcc ?? []), "-DCOLLAPSE", `-DMEMLIM=${MEMORY_MB}`];
    const safety = row.pan === undefined ? ["-DSAFETY"] : [];
    const built = await call(folder, "gcc", ["-O2", "-w", ...options, ...safety, "-o", "pan", "pan.c"]);
    if (built.status !== 0) {
        return { outcome: "gcc failed", text: built.text };
    }
    const { text } = await call(folder, "./pan", [`-m${MAX_DEPTH}`, ...(row.pan ?? [])]);
    const errors = /errors: (\d+)/.exec(text)?.[1];
    // A search that ran out of memory or truncated paths at the maximum depth proves nothing.
    if (errors === "0" && /Search not completed|max search depth too small|out of memory/.test(text)) {
        return { outcome: "unfinished", text };
    }
    return { outcome: errors === undefined ? "pan failed" : errors === "0" ? "clean" : "violation", text };
}

/** Checks one row, prints its line and returns whether the result is as expected. */
async function check(row) {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-model-"));
    const started = Date.now();
    const { outcome, text } = await search(row, folder);
    rmSync(folder, { recursive: true, force: true });
    const seconds = ((Date.now() - started) / 1000).toFixed(1);
    const states = /([\d.e+]+) states, stored/.exec(text)?.[1] ?? "no";
    const found = outcome === "violation" ? ` (${/pan:\d+: (.*?)(?: \(at depth|$)/m.exec(text)?.[1] ?? ""})` : "";
    const verdict = outcome === row.expected ? "ok" : `EXPECTED ${row.expected}`;
    const run = [row.file, ...row.defines.map(name => `-D${name}`)].join(" ");
    console.log(`model: ${run}: ${outcome}${found}, ${states} states, ${seconds} s: ${verdict}`);
    if (outcome !== row.expected) {
        console.log(text);
    }
    return outcome === row.expected;
}

setUpModelChecker();
const nameFilter = process.argv[2] ?? "";
const rows = ROWS.filter(row => row.file.includes(nameFilter));
const remainingRows = rows.values();
const allResults = await Promise.all(Array.from({ length: MAX_CONCURRENT }, async () => {
    const results = [];
    for (const row of remainingRows) {
        results.push(await check(row));
    }
    return results;
}));
const unexpected = allResults.flat().filter(isAsExpected => !isAsExpected).length;
console.log(`${rows.length - unexpected} model checks as expected, ${unexpected} not`);
process.exit(unexpected === 0 && rows.length > 0 ? 0 : 1);
