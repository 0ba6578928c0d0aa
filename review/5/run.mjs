// A request crashes each replica that begins to run it, and comes again. All processes of the system are killed, twice.
import { createMachine, freeHost, hasTrouble, keepAlive, limits, newId, openRecord, runCase, send, sleep, whenReady } from "../lib/harness.mjs";
import { startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";

const record = openRecord(import.meta.url);
const STABLE_WINDOW_MS = 3000;
const KEY = "key-a-9anu6wsjnbanfqasnmgk";
const CRASHING_BODY = JSON.stringify({ sheet: "a plan that no replica survives" });
const GAP_MS = 4000;
const configuration = {
    Version: 3,
    Routes: [{ Name: "r-1", Host: "hulo84.example", PathPrefix: "/fiti832/", Kind: "idempotent", TimeoutMs: 1500, TargetLatencyMs: 100,
        Priority: 2, Service: "kafi81c", MaxAttempts: 2, Public: false, Sticky: false }],
    Services: [{ Name: "kafi81c", HealthPath: "/healthz", MaxConnections: 96, Protocol: "h1", Tls: false }],
    Limits: limits,
    Tenants: [{ Name: "sese880", ApiKeys: [KEY], Unit: "tokens", PlainTokens: 200, RatePerS: 243495, Burst: 243495 }],
};

await runCase(async () => {
    const store = await startStore();
    store.put("keyed.op", "config", configuration);
    const zones = ["hcm-a", "hcm-b", "hcm-c"];
    const crashing = [];
    const crashes = [];
    for (const zone of [...zones, ...zones]) {
        await startReplica({
            store, service: "kafi81c", zone,
            crashesOn: body => body === CRASHING_BODY,
            onRun: ({ id, replica, body, at }) => {
                if (body === CRASHING_BODY) {
                    crashing.push({ id, at });
                    record(`${id} begins to run at ${replica}`);
                }
            },
            onCrash: name => {
                crashes.push(performance.now());
                record(`${name} crashes, the ${crashes.length}. in all`);
            },
        });
    }
    const hosts = [];
    for (const zone of zones) {
        hosts.push({ zone, host: await freeHost() });
    }
    const machines = hosts.map(({ zone, host }) =>
        createMachine({ name: `front-${zone}-1`, zone, host, seeds: hosts.map(each => each.host), store: store.address }));
    await whenReady(machines);

    const ask = (machine, body, agent) => {
        const id = newId();
        return send(machine.callers, {
            method: "POST",
            path: "/fiti832/2f",
            agent,
            headers: { Host: "hulo84.example", "X-Azureshunt-Request-Id": id, "X-Azureshunt-Deadline-Ms": "1500", "X-Azureshunt-Key": KEY, "Content-Length": Buffer.byteLength(body) },
            body,
        }).then(({ status, error }) => ({ id, status: status ?? error }));
    };
    // Other requests of the same caller.
    const others = { isOver: false, counts: new Map() };
    const agents = machines.map(keepAlive);
    const otherLoad = (async () => {
        for (let i = 0; !others.isOver; i += 1) {
            void ask(machines[i % 3], JSON.stringify({ sheet: i }), agents[i % 3]).then(({ status }) => others.counts.set(status, (others.counts.get(status) ?? 0) + 1));
            await sleep(50);
        }
    })();
    const sendCrashing = async (times, first) => {
        for (let i = first; i < first + times; i += 1) {
            const { id, status } = await ask(machines[i % 3], CRASHING_BODY);
            record(`${id} sent to ${machines[i % 3].name}, answered ${status}`);
            await sleep(GAP_MS);
        }
    };
    await sleep(STABLE_WINDOW_MS + 1000);
    await sendCrashing(4, 0);
    for (const round of [1, 2]) {
        if (hasTrouble) {
            machines.forEach(machine => process.kill(machine.pid(), "SIGKILL"));
            record(`all processes of the system are killed (${round}.)`);
            await sleep(1000);
        }
        await whenReady(machines);
        record("all machines are ready");
        await sleep(STABLE_WINDOW_MS + 1000);
        await sendCrashing(4, 4 * round);
    }
    others.isOver = true;
    await otherLoad;
    await sleep(1000);
    record(`other requests: ${[...others.counts].map(([status, count]) => `${status}: ${count}`).join(", ")}`);
    if (crashes.length < 3) {
        throw new Error("the request did not crash three replicas");
    }
    const retries = crashing.filter(({ at }) => at > crashes[2] + STABLE_WINDOW_MS);
    record(`${crashes.length} replicas crashed; ${retries.length} retries reached replicas more than StableWindowMs after the third had crashed`);
    return retries.length > 3;
});
