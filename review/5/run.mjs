// The desired state makes a tenant `Isolated`. Prompts of another tenant must use nothing that it has cached.
import { createMachine, freeHost, hasTrouble, limits, newId, openRecord, runCase, send, sleep, whenReady } from "../lib/harness.mjs";
import { startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";

const record = openRecord(import.meta.url);
const CONFIG_APPLY_MS = 2000;
const MODEL = "daka510000";
const tenant = (name, key, isolated) =>
    ({ Name: name, ApiKeys: [key], Priority: 1, Unit: "tokens", PlainTokens: 200, Isolated: isolated, RatePerS: 243495, Burst: 243495 });
const configuration = (version, isIsolated) => ({
    Version: version,
    Routes: [{
        Name: "r-mgjqnir", Host: "hulo84.example", PathPrefix: "/xapu221/", Kind: "stream", TimeoutMs: 3000, TargetLatencyMs: 500,
        Priority: 0, Service: "huvo11a", MaxAttempts: 2, Public: false, Sticky: true, Resumable: true, GapTargetMs: 500,
    }],
    Services: [{
        Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 360, Protocol: "h1", Tls: false,
        Engine: { Slots: 64, KvCapacity: 283555, KvTokenBytes: 18432, LinkMbps: 550000, Moves: true, Backups: true, Stride: 5,
            MaxInFlight: 12, PinMs: 4000, HoldMs: 2000, handle_s: 5, Models: [{ Name: MODEL }] },
    }],
    Limits: limits,
    Tenants: [tenant("sese880", "key-a-9anu6wsjnbanfqasnmgk", isIsolated), tenant("vuma314", "key-b-wu3fexd9dnn2ctnfzs98", false)],
});
const keyOf = { sese880: "key-a-9anu6wsjnbanfqasnmgk", vuma314: "key-b-wu3fexd9dnn2ctnfzs98" };

await runCase(async () => {
    const store = await startStore();
    let newest = configuration(3, false);
    store.put("keyed.op", "config", newest);
    store.put("keyed.op", `version/${MODEL}`, { Model: MODEL, Version: 1 });
    const runs = [];
    const zones = ["hcm-a", "hcm-b", "hcm-c"];
    for (const zone of zones) {
        await startReplica({ store, service: "huvo11a", zone, models: [MODEL], slots: 64, onRun: run => runs.push(run) });
    }
    const hosts = [];
    for (const zone of zones) {
        hosts.push({ zone, host: await freeHost() });
    }
    const machines = hosts.map(({ zone, host }) =>
        createMachine({ name: `front-${zone}-1`, zone, host, seeds: hosts.map(each => each.host), store: store.address }));
    await whenReady(machines);
    await sleep(3000);

    const ask = async (name, own, machine) => {
        const id = newId();
        const shared = "5c1e07a2:800,91bd3f06:410";
        const res = await send(machine.callers, {
            method: "POST",
            path: "/xapu221/2f",
            headers: {
                Host: "hulo84.example",
                "X-Azureshunt-Request-Id": id,
                "X-Azureshunt-Model": MODEL,
                "X-Azureshunt-Token-Usage": "1460,5",
                "X-Azureshunt-Prompt-Prefix": `${shared},${own}:250`,
                "X-Azureshunt-Deadline-Ms": "3000",
                "X-Azureshunt-Key": keyOf[name],
                "Content-Length": 2,
            },
            body: "{}",
        });
        record(`sent ${id} of ${name} to ${machine.name}: ${res.status ?? res.error}`);
        return { id, status: res.status };
    };
    const askAll = async (name, round) => {
        const sent = [];
        for (let i = 0; i < 12; i += 1) {
            sent.push(await ask(name, (0xe4402b00 + round * 256 + i).toString(16), machines[i % machines.length]));
            await sleep(50);
        }
        return sent;
    };
    // Both tenants may share parts: sese880 reads the manual first.
    await askAll("sese880", 1);
    if (hasTrouble) {
        newest = configuration(9, true);
        store.put("keyed.op", "config", newest);
        record("the store acknowledges the desired state 9: sese880 is Isolated");
    }
    await sleep(CONFIG_APPLY_MS + 1000);
    record("requests after this line are sent more than ConfigApplyMs after the acknowledgement");
    const after = new Set((await askAll("vuma314", 2)).map(({ id }) => id));
    runs.forEach(({ id, replica, tenant: by, used }) =>
        record(`ran ${id} of ${by} at ${replica}, used ${used.map(part => `${part.id} (salt ${part.salt}, made by ${part.madeBy})`).join(", ") || "nothing"}`)
    );
    const foreign = runs.filter(({ id, used }) => after.has(id) && used.some(({ madeBy }) => madeBy === "sese880"));
    const answered = runs.filter(({ id }) => after.has(id)).length;
    if (answered === 0) {
        throw new Error("no request of vuma314 ran");
    }
    const isIsolated = newest.Tenants.some(({ Name: name, Isolated: isolated }) => name === "sese880" && isolated);
    record(`${foreign.length} of ${answered} requests of vuma314 used parts that sese880 made, which ${isIsolated ? "is" : "isn't"} Isolated`);
    return isIsolated && foreign.length > 0;
});
