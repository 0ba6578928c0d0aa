import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { checkRequests } from "@azureshunt/history";
import test from "ava";

import { runRequestHistory } from "../../histories/runRequestHistory.js";

const PLAN = { seed: 5, streams: 20, keys: 6, spanMs: 2_000 };

/*
 * Callers stream answers and place bookings while engines, services and the log fail. Each must read its whole answer in
 * order or an explicit error, no booking may run twice, and "not run" must be true beside the endpoints' own histories.
 */
[
    { name: "engines fail in the middle of streams", faults: ["kill-engine", "skip-tokens", "cross-answers"] },
    { name: "bookings and the log fail", faults: ["kill-service", "lose-service-answers", "log-loses-answers"] },
    { name: "a prompt crashes engines", faults: ["crash-prompt"] },
].forEach(({ name, faults }) =>
    test.serial(`history of requests: ${name}`, async t => {
        const folder = mkdtempSync(join(tmpdir(), "azureshunt-history-"));
        try {
            const history = await runRequestHistory({ ...PLAN, faults }, folder);
            t.deepEqual(checkRequests(history), []);
            t.true(history.some(event => event.kind === "stream" && event.ended === "done"));
            t.true(history.some(event => event.kind === "service-run"));
        }
        finally {
            rmSync(folder, { recursive: true, force: true });
        }
    })
);
