// Starts the deployed program with the command of `deploy/system.toml`, and sends requests to it.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = fileURLToPath(new URL("../..", import.meta.url));
export const hasTrouble = process.env.TROUBLE !== "0";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const startedAt = performance.now();
const folder = mkdtempSync(join(tmpdir(), "azureshunt-review-"));
const children = new Set();

/** Opens the record of a case, empty. */
export function openRecord(caseUrl) {
    const path = fileURLToPath(new URL("record.txt", caseUrl));
    writeFileSync(path, "");
    return text => appendFileSync(path, `${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${text}\n`);
}

/** The words of the deploy file's command. */
const command = (() => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return text.match(/^run = "(.*)"$/m)[1].split(" ");
})();

const isFree = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
/** Returns a loopback address on which the fixed ports of a machine are free. */
export async function freeHost() {
    for (let tries = 0; tries < 100; tries += 1) {
        const part = () => 1 + Math.floor(Math.random() * 250);
        const host = `127.${part()}.${part()}.${part()}`;
        if ((await Promise.all([7600, 8605, 8606, 9464].map(port => isFree(host, port)))).every(Boolean)) {
            return host;
        }
    }
    throw new Error("no free loopback address");
}

/** The settings that the platform makes of `platform/settings.template`; the bounds are those of hl-detour. */
const settingsOf = ({ name, zone, host, seeds, store, isFirst }) => ({
    vm: name,
    failureDomain: zone,
    coreShare: 0.675,
    coreSpeed: 1,
    memoryMb: 200,
    linkMbps: 1000,
    isFirstStart: isFirst,
    host,
    callers: `${host}:8606`,
    ready: `${host}:8605`,
    peerPorts: [7600, 7615],
    seeds: seeds.map(seed => `${seed}:8608`),
    store,
    stopSeconds: 8,
    keyWithdrawalMs: 5000,
    configurationMs: 2000,
    leavingMs: 2000,
    weightsMs: 10000,
    orderLeaseMs: 3000,
    retryRatio: 0.2,
    retrySlack: 52,
    rolloutExposure: null,
});

/** A machine of the system: starts its process, again a short time after it has ended by itself, as the platform does. */
export function createMachine(parts) {
    const settingsPath = join(folder, `${parts.name}.yaml`);
    const state = { child: undefined, starts: 0, ends: [], output: "", isStopped: false };
    const start = () => {
        writeFileSync(settingsPath, JSON.stringify(settingsOf({ ...parts, isFirst: state.starts === 0 })));
        state.starts += 1;
        const child = spawn(command[0] === "node" ? process.execPath : command[0], command.slice(1), {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, AZURESHUNT_SETTINGS: settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        children.add(child);
        state.child = child;
        [child.stdout, child.stderr].forEach(stream => stream.on("data", chunk => {
            state.output += chunk.toString();
        }));
        child.once("exit", (code, signal) => {
            children.delete(child);
            state.ends.push({ code, signal, at: performance.now() });
            if (!state.isStopped) {
                setTimeout(() => state.isStopped || start(), 500);
            }
        });
    };
    start();
    return {
        name: parts.name,
        host: parts.host,
        callers: `${parts.host}:8606`,
        ends: state.ends,
        output: () => state.output,
        pid: () => state.child?.pid,
        stop: () => {
            state.isStopped = true;
            state.child?.kill("SIGKILL");
        },
    };
}

/** Ends all processes of the case; also called if it fails. */
export function cleanUp() {
    children.forEach(child => child.kill("SIGKILL"));
    rmSync(folder, { recursive: true, force: true });
}
["SIGINT", "SIGTERM", "SIGHUP"].forEach(signal => process.once(signal, () => {
    cleanUp();
    process.exit(2);
}));

/**
 * Sends a request; resolves with its status, headers, body and whether the answer is complete, or with the error.
 *
 * @param address `host:port`
 */
export function send(address, { method = "GET", path = "/", headers = {}, body, agent, timeoutMs = 20000 }) {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const req = request({ host, port: Number(port), method, path, headers, agent: agent ?? false }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", () => undefined);
            res.on("close", () => {
                clearTimeout(timer);
                resolve({
                    status: res.statusCode,
                    headers: res.headers,
                    body: Buffer.concat(chunks).toString("utf8"),
                    isWhole: res.complete,
                });
            });
        });
        const timer = setTimeout(() => req.destroy(new Error("no answer in time")), timeoutMs);
        req.on("error", err => {
            clearTimeout(timer);
            resolve({ status: undefined, error: err.message });
        });
        req.end(body);
    });
}
export const keepAlive = () => new Agent({ keepAlive: true });

/** Waits until all machines say that they are ready. */
export async function whenReady(machines, withinMs = 20000) {
    const until = performance.now() + withinMs;
    while (performance.now() < until) {
        const answers = await Promise.all(machines.map(({ host }) => send(`${host}:8605`, { path: "/ready", timeoutMs: 1000 })));
        if (answers.every(({ status }) => status === 200)) {
            return;
        }
        await sleep(200);
    }
    throw new Error("the machines are not ready in time");
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(run) {
    const limit = setTimeout(() => {
        console.error("the case took too long");
        cleanUp();
        process.exit(2);
    }, 115000);
    try {
        const isBroken = await run();
        clearTimeout(limit);
        cleanUp();
        console.log(isBroken ? "the rule was broken" : "the rule held");
        process.exit(isBroken ? 1 : 0);
    }
    catch (err) {
        console.error(err);
        cleanUp();
        process.exit(2);
    }
}

/** Limits of the example configuration. */
export const limits = { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 };
const counter = { next: 1 };
/** Returns a new id of a request. */
export const newId = () => (0x9c41d07b00000000n + BigInt(Date.now() % 65536) * 65536n + BigInt(counter.next++)).toString(16);
