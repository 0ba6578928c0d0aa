import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import test from "ava";
import { Agent, request } from "undici";

import { demoNote } from "../../demo/demoNote.js";
import { demoPlan } from "../../demo/demoPlan.js";
import { streamChat } from "../../demo/streamChat.js";
import { applyRelease } from "../../topology/applyRelease.js";
import { startTopology } from "../../topology/startTopology.js";
import { waitUntil } from "../../topology/waitUntil.js";

const STREAMS = 6;
/** Enough that streams take longer than the announcement of the stop, and so still run when the listener closes. */
const TOKENS = 1_200;
const TIMEOUT_MS = 20_000;

test("a stopping daemon finishes its streams and serves requests that still arrive", async t => {
    // If a daemon exits before the load balancer has noticed its stop, requests on open connections are cut off.
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-shutdown-"));
    const plan = demoPlan(folder);
    const endpoints = plan.endpoints.filter(endpoint => endpoint.kind === "model").slice(0, 1);
    const topology = await startTopology({ ...plan, failureDomains: ["fd-a"], daemonsPerDomain: 1, endpoints });
    const openConnection = new Agent({ connections: 1 });
    try {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        const [daemon] = topology.daemons;
        const { caller } = daemon!;
        const key = demo.organisations[0]!.key;
        const models = () =>
            request(`${caller}/v1/models`, { dispatcher: openConnection, headers: { authorization: `Bearer ${key}` } })
                .then(async res => {
                    await res.body.dump();
                    return res.statusCode;
                });
        await waitUntil("the engine to be watched", TIMEOUT_MS, async () => {
            const chat = await streamChat(caller, key, demo.model, [{ role: "user", content: "ready?" }], 1);
            return chat.complete;
        });
        t.is(await models(), 200);
        const streams = Array.from(
            { length: STREAMS },
            (_, i) => streamChat(caller, key, demo.model, [{ role: "user", content: `question ${i}` }], TOKENS),
        );
        const { signal, exited } = daemon!.process();
        signal("SIGTERM");
        await waitUntil("readiness to go red", TIMEOUT_MS, async () => {
            const res = await request(`${caller}/readyz`);
            await res.body.dump();
            return res.statusCode === 503;
        });
        t.is(await models(), 200);
        const lateAnswer = await streamChat(caller, key, demo.model, [{ role: "user", content: "late" }], TOKENS);
        const answers = await Promise.all(streams);
        t.deepEqual(
            [...answers, lateAnswer].map(({ complete, tokens }) => ({ complete, tokens })),
            [...answers, lateAnswer].map(() => ({
                complete: true,
                tokens: TOKENS,
            })),
        );
        await exited;
        t.is(daemon!.process().errors(), "");
    }
    finally {
        await openConnection.close();
        await topology.stop();
        rmSync(folder, { recursive: true, force: true });
    }
});
