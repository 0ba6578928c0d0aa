import { mkdtempSync, rmSync } from "node:fs";
import { request as rawRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

import test from "ava";
import OpenAI from "openai";
import { request } from "undici";

import { demoNote } from "../../demo/demoNote.js";
import { demoPlan } from "../../demo/demoPlan.js";
import { applyRelease } from "../../topology/applyRelease.js";
import { startTopology } from "../../topology/startTopology.js";
import type { Topology } from "../../topology/Topology.js";

const folder = mkdtempSync(join(tmpdir(), "azureshunt-callers-"));
const running: { topology?: Topology; caller: string; key: string; } = { caller: "", key: "" };
const MESSAGES = [{ role: "user" as const, content: "Which chain fits 205/55 R16?" }];

test.before(async () => {
    const plan = demoPlan(folder);
    const [engine] = plan.endpoints.filter(endpoint => endpoint.kind === "model");
    const [service] = plan.endpoints.filter(endpoint => endpoint.kind === "service");
    const endpoints = [engine, service].filter(endpoint => endpoint !== undefined);
    const topology = await startTopology({ ...plan, failureDomains: ["fd-a"], daemonsPerDomain: 1, endpoints });
    const demo = demoNote(topology);
    await applyRelease(topology, demo.note);
    running.topology = topology;
    running.caller = topology.daemons[0]?.caller ?? "";
    running.key = demo.organisations[0]?.key ?? "";
});

test.after.always(async () => {
    await running.topology?.stop();
    rmSync(folder, { recursive: true, force: true });
});

const client = (apiKey = running.key) => new OpenAI({ baseURL: `${running.caller}/v1`, apiKey, maxRetries: 0 });

test("the openai client gets the same chat text, whole and streamed", async t => {
    const ask = { model: "chain-advisor", messages: MESSAGES, max_tokens: 8 };
    const whole = await client().chat.completions.create(ask);
    const stream = await client().chat.completions.create({ ...ask, stream: true });
    const parts: string[] = [];
    for await (const chunk of stream) {
        parts.push(chunk.choices[0]?.delta.content ?? "");
    }
    t.is(parts.join(""), whole.choices[0]?.message.content ?? "");
    t.true(parts.join("").length > 0);
    t.is(whole.choices[0]?.finish_reason, "length");
});

test("the openai client gets a completion and the list of models", async t => {
    const completion = await client().completions.create({ model: "chain-advisor", prompt: "Chains", max_tokens: 4 });
    t.true((completion.choices[0]?.text.length ?? 0) > 0);
    const models = await client().models.list();
    t.deepEqual(models.data.map(model => model.id), ["chain-advisor"]);
});

test("the openai client gets a typed error for an unknown model and for an unknown key", async t => {
    const ask = (key: string, model: string) =>
        client(key).chat.completions.create({ model, messages: MESSAGES, max_tokens: 4 });
    const unknownModel = await t.throwsAsync(ask(running.key, "no-such-model"), { instanceOf: OpenAI.NotFoundError });
    t.is(unknownModel?.code, "unknown-model");
    const unknownKey = await t.throwsAsync(ask("ask_nonsense", "chain-advisor"), {
        instanceOf: OpenAI.AuthenticationError,
    });
    t.is(unknownKey?.code, "unknown-key");
});

const CHAT = "/v1/chat/completions";
const JSON_TYPE = { "content-type": "application/json" };
const chat = (more: object) => JSON.stringify({ model: "chain-advisor", messages: MESSAGES, max_tokens: 4, ...more });

[
    { name: "malformed JSON", path: CHAT, headers: JSON_TYPE, body: "{\"model\":", status: 400, code: "bad-request" },
    {
        name: "no messages",
        path: CHAT,
        headers: JSON_TYPE,
        body: chat({ messages: [] }),
        status: 400,
        code: "bad-request",
    },
    {
        name: "negative limit",
        path: CHAT,
        headers: JSON_TYPE,
        body: chat({ max_tokens: -1 }),
        status: 400,
        code: "bad-request",
    },
    { name: "two choices", path: CHAT, headers: JSON_TYPE, body: chat({ n: 2 }), status: 400, code: "bad-request" },
    {
        name: "text body",
        path: CHAT,
        headers: { "content-type": "text/plain" },
        body: "x",
        status: 415,
        code: "unsupported-media-type",
    },
    {
        name: "body over the bound",
        path: CHAT,
        headers: JSON_TYPE,
        body: "x".repeat(9_000_000),
        status: 413,
        code: "body-too-large",
    },
    { name: "unknown path", path: "/v2/nothing", headers: JSON_TYPE, body: "{}", status: 404, code: "not-found" },
    {
        name: "unknown service",
        path: "/v1/services/none/x",
        headers: JSON_TYPE,
        body: "{}",
        status: 404,
        code: "unknown-service",
    },
    {
        name: "idempotency key of more than the maximum length",
        path: "/v1/services/bookings/bookings",
        headers: { ...JSON_TYPE, "idempotency-key": "x".repeat(300) },
        body: "{}",
        status: 400,
        code: "bad-request",
    },
].forEach(({ name, path, headers, body, status, code }) =>
    test(`bad input: ${name} is refused as not run, and the daemon continues to serve`, async t => {
        const res = await request(`${running.caller}${path}`, {
            method: "POST",
            headers: { ...headers, authorization: `Bearer ${running.key}` },
            body,
        });
        const { error } = await res.body.json() as {
            readonly error: { readonly code: string; readonly ran: string; };
        };
        t.deepEqual({ status: res.statusCode, code: error.code, ran: error.ran }, { status, code, ran: "no" });
        t.is((await request(`${running.caller}/readyz`)).statusCode, 200);
    })
);

/** Sends a path unchanged; clients that take URLs would normalise it first. */
const sendRaw = (path: string) =>
    new Promise<number>((resolve, reject) => {
        const { hostname, port } = new URL(running.caller);
        const headers = { ...JSON_TYPE, authorization: `Bearer ${running.key}` };
        rawRequest({ hostname, port, path, method: "POST", headers }, res => {
            res.resume();
            resolve(res.statusCode ?? 0);
        }).on("error", reject).end("{}");
    });

// If a path were normalised after matching its route, a booking could pass for a lookup, which may be repeated.
[
    { path: "/lookup/../bookings", status: 200, ranAt: "/bookings" },
    { path: "/lookup/%2e%2e/bookings", status: 200, ranAt: "/bookings" },
    { path: "/lookup/..%2fbookings", status: 400, ranAt: undefined },
    { path: "/lookup/..\\bookings", status: 200, ranAt: "/bookings" },
    { path: "/lookup/%zz", status: 400, ranAt: undefined },
].forEach(({ path, status, ranAt }) =>
    test.serial(`a path is matched to its route in the form that is forwarded: ${path}`, async t => {
        const service = running.topology?.endpoints.find(endpoint => endpoint.kind === "service");
        const runsOf = async () => {
            const res = await request(`${service?.url ?? ""}/runs`);
            return (await res.body.json() as { readonly runs: readonly { readonly path: string; }[]; }).runs;
        };
        const before = (await runsOf()).length;
        t.is(await sendRaw(`/v1/services/bookings${path}`), status);
        t.deepEqual((await runsOf()).slice(before).map(run => run.path), ranAt === undefined ? [] : [ranAt]);
    })
);

test("bad input: no key, or an authorisation scheme other than bearer, is refused with 401", async t => {
    const statusOf = async (headers: Record<string, string>) =>
        (await request(`${running.caller}/v1/models`, { headers })).statusCode;
    t.is(await statusOf({}), 401);
    t.is(await statusOf({ authorization: `Basic ${running.key}` }), 401);
});
