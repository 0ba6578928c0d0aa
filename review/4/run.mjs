// A machine freezes while large desired states come in quick succession, one of which takes a key away. Requests with that
// key are sent to it once it has thawed.
import { createMachine, freeHost, hasTrouble, keepAlive, limits, newId, openRecord, runCase, send, sleep, whenReady } from "../lib/harness.mjs";
import { startReplica } from "../lib/replica.mjs";
import { startStore } from "../lib/store.mjs";

const record = openRecord(import.meta.url);
const REVOKE_MS = 5000;
const RECORD_BYTES = 262144;
/** The routes by which the desired state has grown (`big_config`, at most 1,400). */
const MORE_ROUTES = 850;
/** `config_storm`: a change each 0.33 s for 4 s. */
const [STORM_GAP_MS, STORM_COUNT] = [330, 12];
/** The change that takes the key away. */
const REVOKED_AT = 8;
/** `node_freeze`: at most 7.9 s. */
const FREEZE_MS = 7900;
const [KEPT, REVOKED] = ["key-a-9anu6wsjnbanfqasnmgk", "key-a-wu3fexd9dnn2ctnfzs98"];

const route = (name, host, prefix, timeoutMs) => ({
    Name: name, Host: host, PathPrefix: prefix, Kind: "non_idempotent", TimeoutMs: timeoutMs, TargetLatencyMs: 100, Priority: 2,
    Service: "kafi81c", MaxAttempts: 2, Public: false, Sticky: false, Resumable: false, GapTargetMs: 500,
});
const configuration = (version, keys, timeoutMs = 1500) => ({
    Version: version,
    Routes: [
        route("r-served", "hulo84.example", "/fiti832/", timeoutMs),
        ...Array.from({ length: MORE_ROUTES }, (_, i) => route(`r-more${i}`, `jepu${i}.example`, `/lepu${i}/ti23/`, 1500)),
    ],
    Services: [{ Name: "kafi81c", HealthPath: "/healthz", MaxConnections: 96, Protocol: "h1", Tls: false }],
    Limits: limits,
    Tenants: [{ Name: "sese880", ApiKeys: keys, Priority: 1, Unit: "tokens", PlainTokens: 200, Isolated: false, RatePerS: 243495, Burst: 243495 }],
});

await runCase(async () => {
    const store = await startStore();
    store.put("keyed.op", "config", configuration(3, [KEPT, REVOKED]));
    const zones = ["hcm-a", "hcm-b", "hcm-c"];
    const runs = [];
    for (const zone of zones) {
        await startReplica({ store, service: "kafi81c", zone, onRun: run => runs.push(run) });
    }
    const hosts = [];
    for (const zone of zones) {
        hosts.push({ zone, host: await freeHost() });
    }
    const machines = hosts.map(({ zone, host }) =>
        createMachine({ name: `front-${zone}-1`, zone, host, seeds: hosts.map(each => each.host), store: store.address }));
    await whenReady(machines);
    await sleep(5000);

    const machine = machines[2];
    const requests = new Map();
    const ask = async (key, agent) => {
        const id = newId();
        const request = { id, key, sentAt: performance.now(), status: undefined };
        requests.set(id, request);
        const { status, error } = await send(machine.callers, {
            method: "POST",
            path: "/fiti832/2f",
            agent,
            headers: { Host: "hulo84.example", "X-Azureshunt-Request-Id": id, "X-Azureshunt-Deadline-Ms": "1500", "X-Azureshunt-Key": key, "Content-Length": 2 },
            body: "{}",
        });
        request.status = status ?? error;
        return status;
    };
    // Requesters whose connections stay open, and are idle during the freeze.
    const agents = Array.from({ length: 150 }, keepAlive);
    for (const agent of agents) {
        await ask(REVOKED, agent);
    }
    record(`${agents.length} requesters have connections to ${machine.name}; answers ${[...new Set([...requests.values()].map(({ status }) => status))]}`);

    if (hasTrouble) {
        process.kill(machine.pid(), "SIGSTOP");
        record(`${machine.name} freezes for ${FREEZE_MS} ms`);
    }
    const frozenAt = performance.now();
    const acknowledged = { at: Infinity };
    for (let i = 0; i < STORM_COUNT; i += 1) {
        const isRevoked = i >= REVOKED_AT;
        const desired = configuration(4 + i, isRevoked ? [KEPT] : [KEPT, REVOKED], 1500 + i);
        if (JSON.stringify(desired).length > RECORD_BYTES) {
            throw new Error("the desired state is larger than a record may be");
        }
        store.put("keyed.op", "config", desired);
        if (i === REVOKED_AT) {
            acknowledged.at = performance.now();
        }
        record(`the store acknowledges the desired state ${desired.Version}, ${JSON.stringify(desired).length} bytes${i === REVOKED_AT ? "; it takes the key away" : ""}`);
        await sleep(Math.max(0, frozenAt + (i + 1) * STORM_GAP_MS - performance.now()));
    }
    await sleep(Math.max(0, frozenAt + FREEZE_MS - performance.now()));
    if (hasTrouble) {
        process.kill(machine.pid(), "SIGCONT");
        record(`${machine.name} thaws`);
    }
    await Promise.all(agents.map(async (agent, i) => {
        await sleep(i * 10);
        return ask(REVOKED, agent);
    }));
    await sleep(2000);

    const ran = new Set(runs.map(({ id }) => id));
    const late = [...requests.values()].filter(({ key, sentAt }) => key === REVOKED && sentAt > acknowledged.at + REVOKE_MS);
    late.forEach(({ id, sentAt, status }) =>
        record(`${id} with the key sent ${Math.round(sentAt - acknowledged.at)} ms after the acknowledgement: answered ${status}, ${ran.has(id) ? "ran" : "not run"}`)
    );
    const broken = late.filter(({ id }) => ran.has(id));
    record(`${broken.length} of ${late.length} requests that were sent more than RevokeMs after the acknowledgement ran`);
    return broken.length > 0;
});
