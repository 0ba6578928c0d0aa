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

// Whoever reads the lines stalls, and the process waits for it or keeps lines without bound.
test("createLoggers: a reader that stalls holds nothing up, and what waits for it is bounded", async t => {
    const child = spawn(process.execPath, ["--input-type=module", "--eval", PROGRAM], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const said: string[] = [];
    child.stderr.on("data", (data: Buffer) => said.push(data.toString()));
    await new Promise(resolve => child.once("close", resolve));
    t.regex(said.join(""), /^all written \d+$/);
});
