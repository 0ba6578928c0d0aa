// Starts router processes by the command of the deploy file, with settings filled in from the platform's template.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import { renderTemplate } from "./renderTemplate.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const FRONT_PORT = 8606;
const READY_PORT = 8605;
const CONTROL_PORT = 8608;
const PEER_PORTS = [7600, 7615];
const METRICS_PORT = 9464;
const MAX_OCTET = 250;

/** The bounds of the small installations in SYSTEM.md. */
const BOUNDS = {
    SeedLagS: 3, ReuseAfterS: 2, StableWindowMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
    ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxStretchMs: 5000, RevokeStrict: true, RevokeMs: 5000, RetryBudgetRatio: 0.2,
    BudgetWindowS: 10, RetryBudgetSlack: 52, QuotaWindowS: 8, QuotaOverage: 0.1, QuotaSlack: 140_000, RecoveryS: 12,
    MaxTransitMs: 120, ReuseWindowS: 10, ChecksFence: false, LeaseMs: 3000, ThawSlackMs: 300, VersionMs: 10_000,
    VersionAllMs: 14_000,
};

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const octet = () => 2 + Math.floor(Math.random() * (MAX_OCTET - 2));

const isFree = (host, port) =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/** Returns a loopback host on which the ports of a machine are free. */
export const freeHost = async () => {
    for (;;) {
        const host = `127.${octet()}.${octet()}.${octet()}`;
        const ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORTS[0], METRICS_PORT];
        if ((await Promise.all(ports.map(port => isFree(host, port)))).every(Boolean)) {
            return host;
        }
    }
};

/**
 * Prepares one router process a machine, and starts none yet.
 *
 * @param machines their zones, and fields of the settings that differ from those of a small installation
 */
export const startRouters = async (storeAddress, machines) => {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-review-"));
    const template = readFileSync(join(ROOT, "platform/settings.template"), "utf8");
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"))[1].split(" ");
    const hosts = [];
    for (const { host } of machines) {
        hosts.push(host ?? await freeHost());
    }
    const processes = [];
    const nodes = machines.map(({ zone, fields = {} }, i) => {
        const host = hosts[i];
        const name = `front-${zone}-${i + 1}`;
        const file = join(folder, `${name}.yaml`);
        const launch = (isBootstrap = true) => {
            const settings = {
                NodeName: name, Zone: zone, Ip: host, PortRange: PEER_PORTS, Bootstrap: isBootstrap,
                Seeds: hosts.slice(0, 3).map(each => `${each}:${CONTROL_PORT}`),
                Listen: { Front: `${host}:${FRONT_PORT}`, Ready: `${host}:${READY_PORT}`, Control: `${host}:${CONTROL_PORT}` },
                Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 200, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
                Bounds: BOUNDS,
                Platform: { Address: storeAddress },
                ...fields,
            };
            writeFileSync(file, renderTemplate(template, [settings]));
            const child = spawn(program, args, {
                cwd: ROOT,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: "C", AZURESHUNT_SETTINGS: file },
                stdio: "ignore",
            });
            child.exited = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
            child.once("error", () => undefined);
            processes.push(child);
            return child;
        };
        const isReady = () =>
            new Promise(resolve => {
                const req = get({ host, port: READY_PORT, path: "/ready", timeout: 500, agent: false }, res => {
                    res.resume();
                    resolve(res.statusCode === 200);
                });
                req.on("error", () => resolve(false)).on("timeout", () => req.destroy());
            });
        return { name, host, port: FRONT_PORT, launch, isReady };
    });
    const untilReady = async (withinMs = 20_000) => {
        const until = Date.now() + withinMs;
        for (const node of nodes) {
            while (!await node.isReady()) {
                if (Date.now() > until) {
                    throw new Error(`${node.name} is not ready`);
                }
                await sleep(50);
            }
        }
    };
    const stop = async () => {
        processes.filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null)
            .forEach(child => child.kill("SIGKILL"));
        await Promise.all(processes.map(({ exited }) => exited));
        rmSync(folder, { recursive: true, force: true });
    };
    return { nodes, untilReady, stop };
};
