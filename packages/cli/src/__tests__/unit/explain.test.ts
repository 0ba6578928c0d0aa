import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import test from "ava";

import { runCli } from "../../runCli.js";

const line = (time: number, vm: string, part: string, msg: string, fields: object): string =>
    JSON.stringify({ level: 30, time, vm, failureDomain: "a", incarnation: "run", part, msg, ...fields });

const explain = async (argv: readonly string[], logs: Readonly<Record<string, readonly string[]>>) => {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-explain-"));
    Object.entries(logs).forEach(([name, lines]) => writeFileSync(join(folder, name), lines.join("\n")));
    const printed: string[] = [];
    const code = await runCli(
        ["explain", ...argv.map(word => word in logs ? join(folder, word) : word)],
        { env: {}, isTerminal: false, out: text => printed.push(text), err: text => printed.push(text) },
    );
    rmSync(folder, { recursive: true });
    return { code, lines: printed };
};

// The log lines of one request are mixed with others in the files of several VMs, so its cause is hard to find.
const logs = {
    "one.log": [
        line(1_000, "vm-1", "request", "request: Admitted.", { id: "12e45678", tokens: 100 }),
        line(1_400, "vm-1", "request", "request: Try ended.", { id: "12e45678", endpoint: "e1", outcome: "broken" }),
        line(1_402, "vm-1", "request", "request: Refused.", { id: "12e45678", reason: "stream-broken" }),
        line(1_200, "vm-1", "request", "request: Try ended.", { id: "another", endpoint: "e2", outcome: "broken" }),
        line(1_100, "vm-1", "knowledge", "knowledge: The store does not answer.", { store: false }),
        "not json",
    ],
    "two.log": [
        `12:00:01 vm-2 ${
            line(1_350, "vm-2", "endpoint", "endpoint: The view of an endpoint changed.", {
                endpoint: "e1",
                change: "gone",
            })
        }`,
        line(1_360, "vm-2", "endpoint", "endpoint: The view of an endpoint changed.", {
            endpoint: "e9",
            change: "gone",
        }),
        line(1_300, "vm-2", "knowledge", "knowledge: The store does not answer.", { store: false }),
    ],
};

test("explain: lists the request's lines, then nearby lines on its endpoints (any VM) and its VM's state", async t => {
    const { code, lines } = await explain(["--id", "12e45678", "one.log", "two.log"], logs);
    t.is(code, 0);
    t.deepEqual(lines.map(each => each.replace(/ +/g, " ")), [
        "request 12e45678, first line 1970-01-01T00:00:01.000Z",
        "MS VM WHAT",
        "0 vm-1 request: Admitted. tokens=100",
        "400 vm-1 request: Try ended. endpoint=e1 outcome=broken",
        "402 vm-1 request: Refused. reason=stream-broken",
        "",
        "around it: its endpoints, and what its VMs came to believe",
        "MS VM WHAT",
        "100 vm-1 knowledge: The store does not answer. store=false",
        "350 vm-2 endpoint: The view of an endpoint changed. endpoint=e1 change=gone",
        "",
    ]);
});

// The cause of a failed request may be in lines that do not carry its id.
const SAMPLES = new URL("../../../../../docs/samples/", import.meta.url).pathname;
const causes: readonly (readonly [id: string, file: string, cause: RegExp])[] = [
    [
        "6df0efce737bb621",
        "refused-on-old-knowledge.jsonl",
        /configuration-too-old.*confirmedMs=5838[^]*store does not answer/,
    ],
    ["73e8eb5112f08405", "stream-cut.jsonl", /outcome=broken.*events=70[^]*maxTries=1[^]*An endpoint died/],
    ["9e5b8b1d55dc9d65", "may-have-run.jsonl", /outcome=broken[^]*outcome=unreached[^]*ran=maybe[^]*An endpoint died/],
];

causes.forEach(([id, file, cause]) => {
    test(`explain: shows the cause in ${file}`, async t => {
        const { code, lines } = await explain(["--id", id, `${SAMPLES}${file}`], {});
        t.is(code, 0);
        t.regex(lines.join("\n"), cause);
    });
});

test("explain: fails for an unknown id, a missing file, and a missing --id", async t => {
    const unknown = await explain(["--id", "none", "one.log"], logs);
    t.is(unknown.code, 7);
    t.regex(unknown.lines.join(), /5 lines read, 1 not readable/);
    t.is((await explain(["--id", "x", "three.log"], logs)).code, 2);
    t.is((await explain(["one.log"], logs)).code, 2);
});
