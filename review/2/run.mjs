// New weights are named, then all processes are killed. Requests for the model come seldom.
import { createMachine, freeHost, hasTrouble, limits, newId, openRecord, runCase, send, sleep, whenReady } from "../lib/harness.mjs";
import { startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";

const record = openRecord(import.meta.url);
const RECOVERY_MS = 12000;
const MODEL = "daka510000";
/** Time between two requests to one machine. */
const GAP_MS = 6000;
const configuration = {
    Version: 3,
    Routes: [{
        Name: "r-2", Host: "hulo84.example", PathPrefix: "/lepu270/", Kind: "stream", TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 0,
        Service: "huvo11a", MaxAttempts: 2, Public: false, Sticky: true, Resumable: true, GapTargetMs: 500,
    }],
    Services: [{
        Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 360, Protocol: "h1", Tls: false,
        Engine: { Slots: 64, KvCapacity: 283555, KvTokenBytes: 18432, LinkMbps: 550000, Moves: true, Backups: true, Stride: 5,
            MaxInFlight: 12, PinMs: 4000, HoldMs: 2000, handle_s: 5, Models: [{ Name: MODEL }] },
    }],
    Limits: limits,
    Tenants: [{ Name: "sese880", ApiKeys: ["key-a-9anu6wsjnbanfqasnmgk"], Unit: "tokens", PlainTokens: 200, RatePerS: 243495, Burst: 243495 }],
};

await runCase(async () => {
    const store = await startStore();
    store.put("keyed.op", "config", configuration);
    store.put("keyed.op", `version/${MODEL}`, { Model: MODEL, Version: 1 });
    const zones = ["hcm-a", "hcm-b", "hcm-c"];
    const replicas = [];
    for (const zone of [...zones, ...zones]) {
        replicas.push(await startReplica({ store, service: "huvo11a", zone, models: [MODEL], slots: 64 }));
    }
    const hosts = [];
    for (const number of [1, 2, 3, 4, 5]) {
        for (const zone of zones) {
            hosts.push({ name: `front-${zone}-${number}`, zone, host: await freeHost() });
        }
    }
    const machines = hosts.map(({ name, zone, host }) =>
        createMachine({ name, zone, host, seeds: hosts.slice(0, 3).map(each => each.host), store: store.address }));
    await whenReady(machines);
    await sleep(4000);

    const requests = [];
    const load = { isOver: false, pending: [] };
    const ask = async i => {
        const machine = machines[i % machines.length];
        const request = { id: newId(), machine: machine.name, sentAt: performance.now(), status: undefined };
        requests.push(request);
        const { status, error } = await send(machine.callers, {
            method: "POST", path: "/lepu270/2f", body: "{}",
            headers: {
                Host: "hulo84.example", "X-Azureshunt-Request-Id": request.id, "X-Azureshunt-Model": MODEL, "X-Azureshunt-Token-Usage": "1460,5",
                "X-Azureshunt-Prompt-Prefix": `5c1e07a2:1200,${(0xe4400000 + i).toString(16)}:260`, "X-Azureshunt-Deadline-Ms": "3000",
                "X-Azureshunt-Key": "key-a-9anu6wsjnbanfqasnmgk", "Content-Length": 2,
            },
        });
        request.status = status ?? error;
        record(`${request.id} sent to ${machine.name} at ${Math.round(request.sentAt)}: ${request.status}`);
    };
    const loading = (async () => {
        for (let i = 0; !load.isOver; i += 1) {
            load.pending.push(ask(i));
            await sleep(GAP_MS / machines.length);
        }
    })();
    await sleep(12000);
    const faultAt = performance.now();
    if (hasTrouble) {
        store.put("keyed.op", `version/${MODEL}`, { Model: MODEL, Version: 2 });
        record("the store acknowledges version 2 of the model");
        machines.forEach(machine => process.kill(machine.pid(), "SIGKILL"));
        record("all processes are killed");
        await sleep(600);
    }
    await whenReady(machines);
    const backAt = performance.now();
    record("all machines are ready");
    await sleep(RECOVERY_MS + 30000);
    load.isOver = true;
    await loading;
    await Promise.all(load.pending);
    const shareOf = some => some.filter(({ status }) => status === 200).length / some.length;
    const before = requests.filter(({ sentAt }) => sentAt < faultAt);
    const after = requests.filter(({ sentAt }) => sentAt > backAt + RECOVERY_MS);
    machines.forEach(({ name }) => {
        const its = after.filter(({ machine }) => machine === name);
        record(`${name}: ${its.filter(({ status }) => status === 200).length} of ${its.length} served`);
    });
    record(`versions of the replicas: ${replicas.map(each => each.versionOf(MODEL)).join(", ")}`);
    record(`served before ${shareOf(before).toFixed(3)} of ${before.length}, more than RecoveryS after the machines are back ${shareOf(after).toFixed(3)} of ${after.length}`);
    return shareOf(before) >= 0.25 && shareOf(after) < 0.25;
});
