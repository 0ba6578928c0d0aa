import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import test from "ava";
import { Agent, request } from "undici";

import { demoNote } from "../../demo/demoNote.js";
import { demoPlan } from "../../demo/demoPlan.js";
import { streamChat } from "../../demo/streamChat.js";
import { applyRelease } from "../../topology/applyRelease.js";
import { callHttp } from "../../topology/callHttp.js";
import { startTopology } from "../../topology/startTopology.js";
import type { Topology } from "../../topology/Topology.js";
import { waitUntil } from "../../topology/waitUntil.js";

const TIMEOUT_MS = 20_000;
const LONG_STREAM_TOKENS = 400;
const LATER_REQUESTS = 12;

const folder = mkdtempSync(join(tmpdir(), "azureshunt-operations-"));
const running: { topology?: Topology; demo?: ReturnType<typeof demoNote>; } = {};

test.before(async () => {
    const plan = demoPlan(folder);
    const endpoints = plan.endpoints.filter(endpoint => endpoint.kind === "model").slice(0, 2);
    const topology = await startTopology({ ...plan, failureDomains: ["fd-a"], daemonsPerDomain: 1, endpoints });
    const demo = demoNote(topology);
    await applyRelease(topology, demo.note);
    running.topology = topology;
    running.demo = demo;
    await waitUntil("the engines to be watched", TIMEOUT_MS, async () => (await ask("ready?", 1)).complete);
});

test.after.always(async () => {
    await running.topology?.stop();
    rmSync(folder, { recursive: true, force: true });
});

const callerUrl = (): string => running.topology?.daemons[0]?.caller ?? "";
const ask = (question: string, tokens: number) =>
    streamChat(
        callerUrl(),
        running.demo?.organisations[0]?.key ?? "",
        running.demo?.model ?? "",
        [{ role: "user", content: question }],
        tokens,
    );
const runsOf = async (url: string): Promise<number> => {
    const { text } = await callHttp({ method: "GET", url: `${url}/runs` });
    return (JSON.parse(text) as { readonly runs: readonly unknown[]; }).runs.length;
};

test.serial("a leaving endpoint gets no new requests, and its stream finishes", async t => {
    // A choice by an outdated configuration would send new requests to an engine that is about to be switched off.
    const topology = running.topology!;
    const engines = topology.endpoints;
    const before = await Promise.all(engines.map(engine => runsOf(engine.url)));
    const stream = ask("a long answer", LONG_STREAM_TOKENS);
    await waitUntil("the stream to run", TIMEOUT_MS, async () => {
        const now = await Promise.all(engines.map(engine => runsOf(engine.url)));
        return now.some((count, i) => count > (before[i] ?? 0));
    });
    const whileStreaming = await Promise.all(engines.map(engine => runsOf(engine.url)));
    const leaving = engines[whileStreaming.findIndex((count, i) => count > (before[i] ?? 0))]!;
    const { name, failureDomain, url } = leaving;
    const spec = { name, kind: "model", failureDomain, url, models: [running.demo?.model], leaving: true };
    await applyRelease(topology, { note: "take an engine out", changed: { endpoints: [spec] } });
    const atRelease = await runsOf(url);
    const answers = await Promise.all(Array.from({ length: LATER_REQUESTS }, (_, i) => ask(`afterwards ${i}`, 2)));
    t.true(answers.every(answer => answer.complete));
    t.is(await runsOf(url), atRelease);
    const { complete, tokens } = await stream;
    t.deepEqual({ complete, tokens }, { complete: true, tokens: LONG_STREAM_TOKENS });
});

test.serial("a withdrawn key is refused on a connection that was opened before", async t => {
    // If a key were checked only once per connection, a withdrawn key would continue to work on an open connection.
    const connection = new Agent({ connections: 1 });
    const { id, key } = running.demo!.spareKey;
    const models = async (): Promise<number> => {
        const headers = { authorization: `Bearer ${key}` };
        const res = await request(`${callerUrl()}/v1/models`, { dispatcher: connection, headers });
        await res.body.dump();
        return res.statusCode;
    };
    t.is(await models(), 200);
    await applyRelease(running.topology!, { note: "withdraw a key", withdrawn: { keys: [id] } });
    t.is(await models(), 401);
    await connection.close();
});
