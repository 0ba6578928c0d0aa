import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

import test from "ava";
import { fetch } from "undici";

const BIN = new URL("../../../bin/standin.js", import.meta.url).pathname;

type Ready = { readonly url: string; readonly routes?: Readonly<Record<string, string>>; };

type HistoryLine = { readonly kind: string; readonly dispatchId?: string; };

/** Starts a stand-in and waits for its ready line; the process is killed when the test ends. */
const start = async (
    t: { readonly teardown: (end: () => void) => void; },
    ...args: readonly string[]
): Promise<Ready & { readonly child: ChildProcess; }> => {
    const child = spawn(process.execPath, [BIN, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    t.teardown(() => void child.kill("SIGKILL"));
    const [line] = await once(createInterface(child.stdout), "line") as [string];
    return { child, ...JSON.parse(line) as Ready };
};

const post = (url: string, body: unknown, headers: Readonly<Record<string, string>> = {}) =>
    fetch(url, { method: "POST", body: JSON.stringify(body), headers });

const json = async <T>(url: string): Promise<T> => await (await fetch(url)).json() as T;

const ENGINE = ["engine", "--prefill-us-per-token", "0", "--decode-ms-per-token", "0", "--piece-tokens", "4"];
const PROMPT = "a prompt that is longer than one piece of four tokens";

test("engine process: a stream cut after some tokens can be resumed at another engine without a gap", async t => {
    // If engines generated different tokens, a stream resumed at another one would differ from the uninterrupted one.
    const one = await start(t, ...ENGINE, "--name", "one");
    const two = await start(t, ...ENGINE, "--name", "two");
    await post(`${one.url}/control`, { cutStreams: 1, cutAfterTokens: 2 });
    const body = { model: "advisor", prompt: PROMPT, max_tokens: 5, stream: true };
    const texts = (sse: string) =>
        sse.split("\n").filter(line => line.startsWith("data: {")).map(line => {
            const { position, choices } = JSON.parse(line.slice(6)) as {
                position: number;
                choices: { text: string; }[];
            };
            return `${position}${choices[0]?.text}`;
        });
    const broken = await post(`${one.url}/v1/completions`, body);
    const parts: string[] = [];
    await t.throwsAsync(async () => {
        for await (const part of broken.body ?? []) {
            parts.push(Buffer.from(part as Uint8Array).toString());
        }
    });
    const rest = await (await post(`${two.url}/v1/completions`, { ...body, resume_from: 2 })).text();
    const whole = await (await post(`${two.url}/v1/completions`, body)).text();
    t.is(texts(parts.join("")).length, 2);
    t.deepEqual([...texts(parts.join("")), ...texts(rest)], texts(whole));
});

test("engine process: its history contains the request that crashes it", async t => {
    // If entries were written after the answer, a request that ends its engine would be missing in its history.
    const folder = mkdtempSync(join(tmpdir(), "standin-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const file = join(folder, "history.jsonl");
    const { url, child } = await start(t, ...ENGINE, "--crash-on", "poison", "--history", file);
    const send = (prompt: string) =>
        post(`${url}/v1/completions`, { model: "advisor", prompt }, { "x-dispatch-id": prompt });
    t.is((await send("fine")).status, 200);
    const exited = once(child, "exit");
    await t.throwsAsync(send("poison"));
    t.deepEqual(await exited, [137, null]);
    const entries = readFileSync(file, "utf8").trim().split("\n").map(line => JSON.parse(line) as HistoryLine);
    t.deepEqual(entries.filter(({ kind }) => kind === "run").map(({ dispatchId }) => dispatchId), ["fine", "poison"]);
});

test("engine process: a request for weights that it does not hold is refused before it runs", async t => {
    const { url } = await start(t, ...ENGINE);
    const body = { model: "advisor", prompt: PROMPT };
    const refused = await post(`${url}/v1/completions`, body, { "x-weights-version": "v9" });
    t.is(refused.status, 412);
    t.is(refused.headers.get("x-not-run"), "1");
    t.deepEqual(await json(`${url}/runs`), { runs: [] });
});

test("platform process: an append whose answer is lost still takes effect", async t => {
    const { url } = await start(t, "platform");
    await post(`${url}/control`, { loseAnswers: 1 });
    await t.throwsAsync(post(`${url}/log/configuration`, { records: [{ id: "a" }] }));
    const page = await json<{ end: number; }>(`${url}/log/configuration?from=0`);
    t.is(page.end, 1);
});

test("platform process: a read from an offset no longer kept is answered with 410 and the log's bounds", async t => {
    const { url } = await start(t, "platform", "--retain-count", "1");
    await post(`${url}/log/s`, { records: [{ id: "a" }, { id: "b" }] });
    const gone = await fetch(`${url}/log/s?from=0`);
    t.is(gone.status, 410);
    t.like(await gone.json(), { start: 1, end: 2 });
});

test("platform process: no append takes effect while it is down, and it works again afterwards", async t => {
    const { url } = await start(t, "platform");
    await post(`${url}/control`, { down: true });
    await t.throwsAsync(post(`${url}/log/s`, { records: [{ id: "a" }] }));
    await post(`${url}/control`, { down: false });
    t.like(await json(`${url}/log/s?from=0`), { end: 0 });
});

test("service process: a lost answer is counted as a run", async t => {
    const { url } = await start(t, "service", "--name", "booking");
    await post(`${url}/control`, { loseAnswers: 1 });
    await t.throwsAsync(post(`${url}/book`, {}, { "idempotency-key": "k" }));
    const { runs } = await json<{ runs: readonly { idempotencyKey: string; }[]; }>(`${url}/runs`);
    t.deepEqual(runs.map(({ idempotencyKey }) => idempotencyKey), ["k"]);
});

test("link process: a cut breaks connections, and undoing it lets new ones work", async t => {
    const service = await start(t, "service");
    const link = await start(t, "link", "--route", `a=${new URL(service.url).host}`);
    const through = `http://${link.routes?.["a"]}/health`;
    t.is((await fetch(through)).status, 200);
    await post(`${link.url}/control`, { cut: true });
    await t.throwsAsync(fetch(through));
    await post(`${link.url}/control`, { cut: false });
    t.is((await fetch(through)).status, 200);
});

test("link process: open connections become silent, new ones work", async t => {
    // The caller cannot distinguish a permanently silent connection from a slow one: it gets no data, end or close.
    const service = await start(t, "service");
    const link = await start(t, "link", "--route", `a=${new URL(service.url).host}`);
    const through = new URL(`http://${link.routes?.["a"]}`);
    const old = connect(Number(through.port), through.hostname);
    t.teardown(() => void old.destroy());
    old.write("GET /health HTTP/1.1\r\nhost: a\r\n\r\n");
    await once(old, "data");
    const received: string[] = [];
    ["data", "end", "close"].forEach(event => old.on(event, () => received.push(event)));
    await post(`${link.url}/control`, { silent: true });
    old.write("GET /health HTTP/1.1\r\nhost: a\r\n\r\n");
    t.is((await fetch(`${through.origin}/health`)).status, 200);
    service.child.kill("SIGKILL");
    await once(service.child, "exit");
    t.deepEqual(received, []);
});

test("cache process: pieces are returned as they were stored", async t => {
    const { url } = await start(t, "cache");
    await fetch(`${url}/v1/kv/abc`, { method: "PUT", body: "bytes" });
    t.is(await (await fetch(`${url}/v1/kv/abc`)).text(), "bytes");
    t.deepEqual(await (await post(`${url}/v1/kv/lookup`, { hashes: ["abc", "d"] })).json(), { have: ["abc"] });
});

test("engine process: imports KV cache of another engine up to the first missing piece", async t => {
    const one = await start(t, ...ENGINE, "--name", "one");
    const two = await start(t, ...ENGINE, "--name", "two");
    await post(`${one.url}/v1/completions`, { model: "advisor", prompt: PROMPT, max_tokens: 1 });
    const { runs } = await json<{ runs: readonly { pieces: readonly string[]; }[]; }>(`${one.url}/runs`);
    const hashes = runs[0]?.pieces ?? [];
    const answer = await post(`${two.url}/v1/kv/import`, { from: one.url, hashes: [...hashes, "missing"] });
    t.deepEqual(await answer.json(), { imported: hashes.length });
    const hit = await post(`${two.url}/v1/completions`, { model: "advisor", prompt: PROMPT, max_tokens: 1 });
    t.is(hit.headers.get("x-cached-tokens"), "12");
});
