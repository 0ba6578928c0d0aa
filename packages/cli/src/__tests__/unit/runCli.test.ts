import { chmodSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

import test from "ava";

import { commands } from "../../commands/commands.js";
import { runCli } from "../../runCli.js";

const KEY = "asa_test";
const GOOD_NOTE = "note: n\nadded:\n    models: [{ name: guide, version: v1 }]\n";
const BAD_NOTE =
    "note: n\nbsae: 3\nadded:\n    models: [{ name: guide }]\n    organisations: [{ id: o, rate: -1, burst: 1 }]\n";

type Reply = { readonly status?: number; readonly body: object; };
type Replies = Readonly<Record<string, Reply>>;

const IN_FORCE: Reply = {
    body: { revision: 2, inForce: true, vms: [{ vm: "vm-1", failureDomain: "a", revision: 2 }] },
};
const OUTDATED: Reply = {
    body: {
        revision: 2,
        inForce: false,
        vms: [
            { vm: "vm-1", failureDomain: "a", revision: 2 },
            { vm: "vm-2", failureDomain: "b", revision: 1 },
            { vm: "vm-3", failureDomain: "c" },
        ],
    },
};
const DRY: Reply = {
    body: { kind: "valid", revision: 1, changes: [{ kind: "models", id: "guide", change: "added", fields: [] }] },
};
const refusal = (status: number, code: string): Reply => ({ status, body: { error: { code, message: code } } });

const DRY_RUN = "POST /admin/v1/releases?dry-run=1";
const APPLY = "POST /admin/v1/releases?base=1";
const STATUS = "GET /admin/v1/status?fleet=1";

/** Starts a fake daemon that answers from a table and closes the connection of any other call. */
const startAdmin = async (replies: Replies) => {
    const server = createServer((req: IncomingMessage, res: ServerResponse) => {
        const reply = replies[`${req.method} ${req.url}`];
        if (reply === undefined) {
            req.socket.destroy();
            return;
        }
        res.writeHead(reply.status ?? 200, { "content-type": "application/json" });
        res.end(JSON.stringify(reply.body));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    const port = typeof address === "object" ? address?.port ?? 0 : 0;
    return { url: `http://127.0.0.1:${port}`, stop: () => server.close() };
};

const run = async (argv: readonly string[], replies: Replies = {}, env: Readonly<Record<string, string>> = {}) => {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-cli-"));
    const files: Readonly<Record<string, string>> = { "good.yaml": GOOD_NOTE, "bad.yaml": BAD_NOTE };
    Object.entries(files).forEach(([name, text]) => writeFileSync(join(folder, name), text));
    const admin = await startAdmin(replies);
    const lines: string[] = [];
    const code = await runCli(argv.map(arg => arg in files ? join(folder, arg) : arg), {
        env: { AZURESHUNT_URL: admin.url, AZURESHUNT_KEY: KEY, HOME: folder, ...env },
        isTerminal: false,
        out: line => lines.push(line),
        err: line => lines.push(line),
    });
    admin.stop();
    rmSync(folder, { recursive: true });
    return { code, text: lines.join("\n").replaceAll(`${folder}/`, "") };
};

const CASES: readonly {
    readonly title: string;
    readonly argv: readonly string[];
    readonly replies?: Replies;
    readonly env?: Readonly<Record<string, string>>;
    readonly code: number;
    readonly says: readonly string[];
}[] = [
    { title: "no command", argv: [], code: 2, says: ["allowed: release check"] },
    { title: "an unknown command", argv: ["release", "aply", "x"], code: 2, says: ["found \"release aply\""] },
    { title: "a missing argument", argv: ["release", "check"], code: 2, says: ["missing required args"] },
    { title: "an unknown option", argv: ["vm", "list", "--bogus"], code: 2, says: ["Unknown option `--bogus`"] },
    {
        title: "a missing file",
        argv: ["release", "check", "/none"],
        code: 2,
        says: ["/none: cannot be read (ENOENT)"],
    },
    { title: "a bad address", argv: ["vm", "list", "--url", "ftp://x"], code: 2, says: ["--url: found \"ftp://x\""] },
    { title: "no key", argv: ["vm", "list"], env: { AZURESHUNT_KEY: "" }, code: 2, says: ["no key: give --key"] },
    {
        title: "an unknown key",
        argv: ["vm", "list"],
        replies: { "GET /admin/v1/vms": refusal(401, "unknown-key") },
        code: 6,
        says: ["refused: unknown-key"],
    },
    {
        title: "a good note",
        argv: ["release", "check", "good.yaml"],
        code: 0,
        says: ["good.yaml: ok", "  added model guide"],
    },
    {
        title: "a note with three faults",
        argv: ["release", "check", "bad.yaml"],
        code: 2,
        says: [
            "bad.yaml:2:1: bsae: found an unknown field; allowed: note, base, added, changed, withdrawn\n"
            + "azureshunt: bad.yaml:4:14: added.models[0].version: found nothing; allowed: a value of type string\n"
            + "azureshunt: bad.yaml:5:30: added.organisations[0].rate: found -1; allowed: more than 0",
        ],
    },
    {
        title: "a note that is applied and in force on all VMs",
        argv: ["release", "apply", "good.yaml"],
        replies: { [DRY_RUN]: DRY, [APPLY]: { body: { kind: "accepted", revision: 2 } }, [STATUS]: IN_FORCE },
        code: 0,
        says: ["+ models guide", "accepted, revision 2", "in force everywhere"],
    },
    {
        title: "a note that is not in force on some VMs",
        argv: ["release", "apply", "good.yaml", "--wait", "0"],
        replies: { [DRY_RUN]: DRY, [APPLY]: { body: { kind: "accepted", revision: 2 } }, [STATUS]: OUTDATED },
        code: 4,
        says: ["not in force after 0 s on VMs vm-2, vm-3 (failure domains b, c)"],
    },
    {
        title: "a note that conflicts with a concurrent change",
        argv: ["release", "apply", "good.yaml"],
        replies: {
            [DRY_RUN]: DRY,
            [APPLY]: { status: 409, body: { kind: "conflict", base: 1, revision: 2, changed: ["added model guide"] } },
        },
        code: 3,
        says: ["conflict: written against revision 1, now 2; meanwhile: added model guide"],
    },
    {
        title: "a note whose answer is lost",
        argv: ["release", "apply", "good.yaml"],
        replies: { [DRY_RUN]: DRY },
        code: 5,
        says: ["not known whether the note was accepted; run it again"],
    },
    {
        title: "a note that the log may have appended",
        argv: ["release", "apply", "good.yaml"],
        replies: { [DRY_RUN]: DRY, [APPLY]: { status: 504, body: { kind: "not-known", id: "r" } } },
        code: 5,
        says: ["run the same command again"],
    },
    {
        title: "a note while the log is down",
        argv: ["release", "apply", "good.yaml"],
        replies: { [DRY_RUN]: DRY, [APPLY]: { status: 503, body: { kind: "not-appended", id: "r" } } },
        code: 1,
        says: ["nothing was changed"],
    },
    {
        title: "a daemon that does not answer",
        argv: ["release", "apply", "good.yaml"],
        code: 1,
        says: ["cannot be reached"],
    },
    {
        title: "an unknown request",
        argv: ["why", "none"],
        replies: { "GET /admin/v1/requests/none": refusal(404, "not-found") },
        code: 7,
        says: ["refused: not-found"],
    },
    {
        title: "an id with path segments",
        argv: ["key", "withdraw", "../../x"],
        replies: { "DELETE /admin/v1/keys/..%2F..%2Fx": refusal(404, "not-found") },
        code: 7,
        says: ["refused: not-found"],
    },
    {
        title: "a new key",
        argv: ["key", "give", "--organisation", "o"],
        replies: {
            "POST /admin/v1/keys": { body: { kind: "accepted", revision: 2, id: "k", key: "ask_once" } },
            [STATUS]: IN_FORCE,
        },
        code: 0,
        says: ["key k, shown only this once:", "ask_once", "in force everywhere"],
    },
    {
        title: "the placement choices of a request",
        argv: ["why", "r1"],
        replies: {
            "GET /admin/v1/requests/r1": {
                body: {
                    id: "r1",
                    vm: "vm-1",
                    events: [{ at: 0, what: "arrived", values: { model: "guide" } }],
                    choices: [{
                        chosen: "e1",
                        waitedMs: 0.25,
                        candidates: [{ endpoint: "e1", matchedPieces: 2, estimate: { total: 12.34, wait: 1 } }],
                    }],
                },
            },
        },
        code: 0,
        says: [
            "1970-01-01T00:00:00.000Z  arrived  model=guide",
            "choice 1: e1 after 0.3 ms in the queue",
            "e1        12.3      1.0   -        -        -           2              chosen",
        ],
    },
    {
        title: "JSON for scripts",
        argv: ["vm", "list", "--json"],
        replies: { "GET /admin/v1/vms": { body: { vms: [] } } },
        code: 0,
        says: ["{\"vms\":[]}"],
    },
];

CASES.forEach(({ title, argv, replies, env, code, says }) =>
    test(`azureshunt: ${title}`, async t => {
        const found = await run(argv, replies, env);
        t.is(found.code, code, found.text);
        says.forEach(each => t.true(found.text.includes(each), found.text));
        t.false(found.text.includes(KEY));
    })
);

test("a configuration file is refused if others can read it", async t => {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-cli-"));
    const file = join(folder, "conf.yaml");
    writeFileSync(file, "url: http://127.0.0.1:1\nkey: asa_x\n");
    const codes = await [0o644, 0o600].reduce<Promise<readonly number[]>>(async (before, mode) => {
        const done = await before;
        chmodSync(file, mode);
        return [...done, (await run(["vm", "list", "--config", file], {}, { AZURESHUNT_URL: "" })).code];
    }, Promise.resolve([]));
    t.deepEqual(codes, [2, 1]);
    const { code } = await run(["vm", "list", "--config", file], { "GET /admin/v1/vms": { body: { vms: [] } } });
    t.is(code, 0);
    rmSync(folder, { recursive: true });
});

test("the example of every command begins with its name", t => {
    commands.forEach(({ usage, example }) => {
        t.true(example.startsWith(`azureshunt ${usage.replace(/ <.*/, "")}`), usage);
    });
});
