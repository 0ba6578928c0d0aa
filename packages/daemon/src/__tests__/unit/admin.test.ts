import { readFileSync } from "node:fs";

import { VmId } from "@azureshunt/core";
import { authenticate, newKey } from "@azureshunt/organisation";
import test from "ava";
import { request } from "undici";

import { openApi } from "../../admin/openApi.js";
import { startAdminListener } from "../../admin/startAdminListener.js";
import { createReleasePort } from "../../configuration/createReleasePort.js";
import { createTracePort } from "../../createTracePort.js";
import { Settings } from "../../Settings.js";
import { fakeContext } from "../fakes/fakeContext.js";
import { FakeLog } from "../fakes/FakeLog.js";
import { FakePeers } from "../fakes/FakePeers.js";

const ADMIN = newKey("admin", new Uint8Array(32).fill(7));
const FIRST = { note: "first", added: { organisations: [{ id: "chains", rate: 1, burst: 1 }] } };

type Reply = { readonly status: number; readonly body: Record<string, unknown>; };

const startAdmin = async (log = new FakeLog()) => {
    const { ctx } = fakeContext();
    const settings = Settings.parse({
        ...ctx.settings,
        listen: { ...ctx.settings.listen, admin: "127.0.0.1:0" },
        adminKeyDigests: [ADMIN.digest],
        limits: { bodyBytes: 100_000 },
    });
    const base = { ...ctx, settings, log: log.port(), peers: new FakePeers().portOf(VmId.parse("vm-1")) };
    const release = createReleasePort(base);
    const listener = await startAdminListener({
        ctx: { ...base, release },
        release,
        allowance: { reserve: () => Promise.reject(new Error("unused")), settle: () => undefined },
        placement: { inspect: () => [], explain: () => undefined },
        trace: createTracePort(() => 0),
        isDraining: () => false,
        claim: (_address, bind) => bind(),
    });
    const callAdmin = async (method: string, path: string, body?: unknown, headers: object = {}): Promise<Reply> => {
        const res = await request(`http://127.0.0.1:${listener.port}${path}`, {
            method: method as "GET",
            headers: { authorization: `Bearer ${ADMIN.key}`, ...headers },
            body: typeof body === "string" ? body : body === undefined ? undefined : JSON.stringify(body),
        });
        return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
    };
    const stop = async (): Promise<void> => {
        release.stop();
        await listener.stop();
    };
    return { callAdmin, stop, release, log };
};

const REFUSED = [
    {
        title: "no key",
        call: ["GET", "/admin/v1/status"],
        headers: { authorization: "" },
        status: 401,
        code: "missing-key",
    },
    {
        title: "an unknown key",
        call: ["GET", "/admin/v1/status"],
        headers: { authorization: "Bearer asa_none" },
        status: 401,
        code: "unknown-key",
    },
    { title: "an unknown path", call: ["GET", "/admin/v1/none"], status: 404, code: "not-found" },
    {
        title: "a path that cannot be decoded",
        call: ["GET", "/admin/v1/keys/%E0%A4%A"],
        status: 404,
        code: "not-found",
    },
    { title: "a wrong method", call: ["DELETE", "/admin/v1/status"], status: 405, code: "method-not-allowed" },
    { title: "an unknown revision", call: ["GET", "/admin/v1/releases/99"], status: 404, code: "not-found" },
    { title: "an unknown request", call: ["GET", "/admin/v1/requests/none"], status: 404, code: "not-found" },
    { title: "an unknown organisation", call: ["GET", "/admin/v1/organisations/none"], status: 404, code: "not-found" },
    { title: "an unknown key's withdrawal", call: ["DELETE", "/admin/v1/keys/none"], status: 404, code: "not-found" },
    {
        title: "a key request that is not JSON",
        call: ["POST", "/admin/v1/keys", "{"],
        status: 400,
        code: "bad-request",
    },
    {
        title: "a key of an unknown organisation",
        call: ["POST", "/admin/v1/keys", "{\"organisation\":\"none\"}"],
        status: 400,
        code: "bad-request",
    },
    {
        title: "a body over the size limit",
        call: ["POST", "/admin/v1/releases", "x".repeat(100_001)],
        status: 413,
        code: "body-too-large",
    },
];

REFUSED.forEach(({ title, call: [method = "", path = "", body], headers, status, code }) =>
    test(`admin API refuses ${title}`, async t => {
        const { callAdmin, stop, log } = await startAdmin();
        const answer = await callAdmin(method, path, body, headers);
        t.is(answer.status, status);
        t.like(answer.body, { error: { code, ran: "no" } });
        t.is(log.records.length, 0);
        await stop();
    })
);

test("an invalid note is answered with all its faults and changes nothing", async t => {
    const { callAdmin, stop, log } = await startAdmin();
    const { status, body } = await callAdmin(
        "POST",
        "/admin/v1/releases",
        "note: n\nadded:\n    models: [{ name: m }, { nmae: x }]\n",
    );
    t.is(status, 400);
    t.deepEqual((body["faults"] as { path: string; }[]).map(fault => fault.path), [
        "added.models[0].version",
        "added.models[1].name",
        "added.models[1].version",
        "added.models[1].nmae",
    ]);
    t.is(log.records.length, 0);
    await stop();
});

test("a release: dry run, accepted, repeated without effect, conflict on an old base", async t => {
    const { callAdmin, stop, log } = await startAdmin();
    const dry = await callAdmin("POST", "/admin/v1/releases?dry-run=1", FIRST);
    t.like(dry.body, {
        kind: "valid",
        revision: 0,
        changes: [{ kind: "organisations", id: "chains", change: "added" }],
    });
    t.is(log.records.length, 0);
    t.like(await callAdmin("POST", "/admin/v1/releases?base=0", FIRST), {
        status: 200,
        body: { kind: "accepted", revision: 1 },
    });
    t.like((await callAdmin("POST", "/admin/v1/releases?base=0", FIRST)).body, {
        kind: "accepted",
        revision: 1,
        unchanged: true,
    });
    const stale = await callAdmin("POST", "/admin/v1/releases?base=0", {
        note: "n",
        added: { models: [{ name: "m", version: "v" }] },
    });
    t.deepEqual(stale, {
        status: 409,
        body: { kind: "conflict", base: 0, revision: 1, changed: ["added organisation chains"] },
    });
    t.like((await callAdmin("GET", "/admin/v1/releases/1")).body, {
        revision: 1,
        note: "first",
        release: { note: "first" },
    });
    t.like((await callAdmin("GET", "/admin/v1/status?fleet=1")).body, { revision: 1, inForce: true });
    t.like((await callAdmin("GET", "/admin/v1/configuration")).body, { added: { organisations: [{ id: "chains" }] } });
    await stop();
});

test("a new key is shown once, is valid, and becomes invalid on withdrawal", async t => {
    const { callAdmin, stop, release } = await startAdmin();
    await callAdmin("POST", "/admin/v1/releases", FIRST);
    const given = await callAdmin("POST", "/admin/v1/keys", { organisation: "chains", id: "k1" });
    const key = String(given.body["key"]);
    t.is(given.status, 200);
    t.like(given.body, { kind: "accepted", keyKind: "caller", id: "k1", revision: 2 });
    t.is(authenticate(release.reader().fold.configuration, key).isRight(), true);
    t.false(JSON.stringify(await callAdmin("GET", "/admin/v1/keys")).includes(key));
    t.false(JSON.stringify(await callAdmin("GET", "/admin/v1/releases/2")).includes(key));
    t.is((await callAdmin("DELETE", "/admin/v1/keys/k1")).body["revision"], 3);
    t.like((await callAdmin("DELETE", "/admin/v1/keys/k1")).body, { kind: "accepted", unchanged: true });
    t.is(authenticate(release.reader().fold.configuration, key).isRight(), false);
    await stop();
});

test("the committed OpenAPI document matches the routes (node scripts/generateSchemas.mjs)", t => {
    const file = new URL("../../../openapi/admin.openapi.json", import.meta.url);
    t.deepEqual(JSON.parse(readFileSync(file, "utf8")), JSON.parse(JSON.stringify(openApi())));
});
