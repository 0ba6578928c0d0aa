// New weights are named, and a desired state sent, while the engines are full. Resumable streams are running meanwhile.
import { createMachine, freeHost, hasTrouble, limits, newId, openRecord, runCase, send, sleep, whenReady } from "../lib/harness.mjs";
import { startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";

const record = openRecord(import.meta.url);
const CONFIG_APPLY_MS = 2000;
const TIMEOUT_MS = 15000;
const MODEL = "daka510000";
const [SLOTS, QUEUE] = [16, 4];
const EVENTS = 200;
const configuration = (version, timeoutMs) => ({
    Version: version,
    Routes: [
        { Name: "r-2", Host: "hulo84.example", PathPrefix: "/lepu270/", Kind: "stream", TimeoutMs: TIMEOUT_MS, TargetLatencyMs: 800, Priority: 0,
            Service: "huvo11a", MaxAttempts: 2, Public: false, Sticky: true, Resumable: true, GapTargetMs: 500 },
        { Name: "r-3", Host: "hulo84.example", PathPrefix: "/fiti832/", Kind: "idempotent", TimeoutMs: timeoutMs, TargetLatencyMs: 100, Priority: 2,
            Service: "huvo11a", MaxAttempts: 2, Public: false, Sticky: false },
    ],
    Services: [{
        Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 360, Protocol: "h1", Tls: false,
        Engine: { Slots: SLOTS, KvCapacity: 283555, KvTokenBytes: 18432, LinkMbps: 550000, Moves: true, Backups: true, Stride: 5,
            MaxInFlight: 12, PinMs: 4000, HoldMs: 2000, handle_s: 5, Models: [{ Name: MODEL }] },
    }],
    Limits: limits,
    Tenants: [{ Name: "sese880", ApiKeys: ["key-a-9anu6wsjnbanfqasnmgk"], Unit: "tokens", PlainTokens: 200, RatePerS: 2434950, Burst: 2434950 }],
});

await runCase(async () => {
    const store = await startStore();
    store.put("keyed.op", "config", configuration(3, 1500));
    store.put("keyed.op", `version/${MODEL}`, { Model: MODEL, Version: 1 });
    const zones = ["hcm-a", "hcm-b", "hcm-c"];
    const replicas = [];
    const whole = new Set();
    for (const zone of [...zones, "hcm-a"]) {
        replicas.push(await startReplica({
            store, service: "huvo11a", zone, models: [MODEL], slots: SLOTS, queue: QUEUE, events: EVENTS, eventMs: 20,
            onOrder: (name, order) => record(`order at ${name}: ${JSON.stringify(order)}`),
            onEnd: ({ replica, id, isWhole }) => isWhole ? whole.add(id) : record(`the connection of ${id} closes while ${replica} is at work on it`),
            onRefused: (name, id) => record(`${name} is full and refuses ${id}`),
        }));
    }
    const hosts = [];
    for (const zone of zones) {
        hosts.push({ zone, host: await freeHost() });
    }
    const machines = hosts.map(({ zone, host }) =>
        createMachine({ name: `front-${zone}-1`, zone, host, seeds: hosts.map(each => each.host), store: store.address }));
    await whenReady(machines);
    await sleep(4000);

    const requests = [];
    const load = { isOver: false };
    /** A requester that asks again as soon as its stream has ended. */
    const requester = async i => {
        await sleep(i * 40);
        while (!load.isOver) {
            const id = newId();
            const request = { id, sentAt: performance.now(), endedAt: undefined };
            requests.push(request);
            const res = await send(machines[i % 3].callers, {
                method: "POST", path: "/lepu270/2f", body: "{}", timeoutMs: TIMEOUT_MS + 1000,
                headers: {
                    Host: "hulo84.example", "X-Azureshunt-Request-Id": id, "X-Azureshunt-Model": MODEL, "X-Azureshunt-Token-Usage": `120,${EVENTS}`,
                    "X-Azureshunt-Prompt-Prefix": `5c1e07a2:100,${(0xe4400000 + requests.length).toString(16)}:20`,
                    "X-Azureshunt-Deadline-Ms": String(TIMEOUT_MS), "X-Azureshunt-Key": "key-a-9anu6wsjnbanfqasnmgk", "Content-Length": 2,
                },
            });
            Object.assign(request, { endedAt: performance.now(), status: res.status, events: (res.body ?? "").split("\n\n").length - 1, isWhole: res.isWhole === true });
            if (res.status !== 200) {
                await sleep(1000);
            }
        }
    };
    const requesters = Array.from({ length: replicas.length * SLOTS }, (_, i) => requester(i));
    await sleep(12000);
    const at = performance.now();
    if (hasTrouble) {
        store.put("keyed.op", "config", configuration(9, 1600));
        record("the store acknowledges the desired state 9: the time-out of another route");
        store.put("keyed.op", `version/${MODEL}`, { Model: MODEL, Version: 2 });
        record("the store acknowledges version 2 of the model");
    }
    await sleep(14000);
    load.isOver = true;
    await Promise.all(requesters);
    const cut = requests.filter(({ status, isWhole, events }) => status === 200 && (!isWhole || events < EVENTS));
    cut.forEach(({ id, sentAt, endedAt, events }) =>
        record(`${id} ends after ${events} of ${EVENTS} events, ${Math.round(endedAt - sentAt)} ms after it was sent, ${Math.round(endedAt - at)} ms after the acknowledgement`)
    );
    const statuses = new Map();
    requests.forEach(({ status }) => statuses.set(status, (statuses.get(status) ?? 0) + 1));
    const lost = cut.filter(({ sentAt, endedAt }) =>
        endedAt > at && endedAt < at + CONFIG_APPLY_MS + 1000 && endedAt - sentAt < 0.7 * TIMEOUT_MS);
    const others = cut.length - lost.length;
    record(`${requests.length} requests, answers ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(", ")}; versions ${replicas.map(each => each.versionOf(MODEL)).join(", ")}`);
    record(`${lost.length} streams were cut by the system around the desired state, ${others} at other times`);
    return lost.length > 0 && lost.length > 3 * others;
});
