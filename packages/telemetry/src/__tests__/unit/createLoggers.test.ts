import { spawn } from "node:child_process";

import test from "ava";

const LINES = 30_000;
const PROGRAM = `
import { createLoggers } from "@azureshunt/telemetry";
const logger = createLoggers("info", { vm: "v", failureDomain: "f", incarnation: "i" })("part");
const piece = from => {
    for (let i = from; i < from + 1_000; i += 1) {
        logger.info({ i, text: "x".repeat(200) }, "line");
    }
    if (from + 1_000 < ${LINES}) {
        setImmediate(() => piece(from + 1_000));
        return;
    }
    process.stderr.write("all written " + process.memoryUsage().rss, () => process.kill(process.pid, "SIGKILL"));
};
piece(0);
`;

// Guards against a process that waits for a stalled reader of its log, or buffers lines without bound.
test("createLoggers: a stalled reader does not block the process, and the buffer of lines is bounded", async t => {
    const child = spawn(process.execPath, ["--input-type=module", "--eval", PROGRAM], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const stderr: string[] = [];
    child.stderr.on("data", (data: Buffer) => stderr.push(data.toString()));
    await new Promise(resolve => child.once("close", resolve));
    t.regex(stderr.join(""), /^all written \d+$/);
});
