import { createHash, randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { ExecutionContext } from "ava";
import { stringify } from "yaml";

import { demoNote } from "../../demo/demoNote.js";
import { applyRelease } from "../../topology/applyRelease.js";
import { callHttp } from "../../topology/callHttp.js";
import { freePorts } from "../../topology/freePorts.js";
import { startStandIn } from "../../topology/startStandIn.js";
import { waitUntil } from "../../topology/waitUntil.js";
import { launchDaemon } from "./launchDaemon.js";

const HOST = "127.0.0.1";
const DOMAIN = "fd-a";
const TIMEOUT_MS = 20_000;
const ANNOUNCE_MS = 300;
const DRAIN_MS = 15_000;
const OK = 200;

type MembershipPage = { readonly records: readonly { readonly data: { readonly kind: string; }; }[]; };

const isOk = async (url: string): Promise<boolean> => (await callHttp({ method: "GET", url })).status === OK;

const listen = (port: number, onConnection: () => void): Promise<Server> =>
    new Promise(resolve => {
        const server = createServer(socket => {
            onConnection();
            socket.destroy();
        });
        server.listen(port, HOST, () => resolve(server));
    });

/**
 * Starts a platform and a plain service for one VM, whose daemons the test launches, also several at once. All of it ends
 * with the test.
 *
 * @param onEnd registers what runs at the end
 */
export async function startLoneDaemon(onEnd: ExecutionContext["teardown"]) {
    const platform = await startStandIn("platform", "platform", {});
    const service = await startStandIn("service", "bookings", { "failure-domain": DOMAIN });
    const [callerPort = 0, adminPort = 0, peerPort = 0, gatePort = 0] = await freePorts(4);
    const ports = { caller: callerPort, admin: adminPort, peer: peerPort };
    const [caller, admin] = [`http://${HOST}:${ports.caller}`, `http://${HOST}:${ports.admin}`];
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-"));
    const file = join(folder, "settings.yaml");
    const adminKey = `asa_${randomBytes(32).toString("base64url")}`;
    const settings = (more: object = {}): string =>
        stringify({
            vm: "vm-0",
            failureDomain: DOMAIN,
            listen: {
                caller: `${HOST}:${ports.caller}`,
                admin: `${HOST}:${ports.admin}`,
                peer: `${HOST}:${ports.peer}`,
            },
            platform: { url: platform.url },
            peers: { secret: "a-secret-of-enough-length" },
            adminKeyDigests: [createHash("sha256").update(adminKey).digest("hex")],
            limits: { announceMs: ANNOUNCE_MS, drainMs: DRAIN_MS },
            ...more,
        });
    const launched: ReturnType<typeof launchDaemon>[] = [];
    const endpoint = { ...service, kind: "service" as const, failureDomain: DOMAIN };
    const demo = demoNote({ endpoints: [endpoint] });
    const key = demo.organisations[0]?.key ?? "";
    const runs = async (): Promise<number> => {
        const { text } = await callHttp({ method: "GET", url: `${service.url}/runs` });
        return (JSON.parse(text) as { readonly runs: readonly unknown[]; }).runs.length;
    };
    /** Sends a request to the service; returns its status, or the code of the error. */
    const ask = async (): Promise<string> =>
        await callHttp({ method: "GET", url: `${caller}/v1/services/${demo.service}/bookings`, key })
            .then(({ status }) => String(status), (err: NodeJS.ErrnoException) => err.code ?? err.message);
    const setDelay = async (delayMs: number): Promise<void> => {
        await callHttp({ method: "POST", url: `${service.url}/control`, body: { delayMs } });
    };
    onEnd(async () => {
        launched.forEach(daemon => daemon.signal("SIGKILL"));
        [platform, service].forEach(part => part.signal("SIGKILL"));
        await Promise.all([...launched.map(({ exit }) => exit), platform.exited, service.exited]);
        rmSync(folder, { recursive: true, force: true });
    });
    return {
        ports,
        settings,
        ask,
        launch: (nodeFlags?: readonly string[]): ReturnType<typeof launchDaemon> => {
            const daemon = launchDaemon(["--settings", file], nodeFlags);
            launched.push(daemon);
            return daemon;
        },
        writeSettings: (text = settings()): void => writeFileSync(file, text),
        /** Settings whose platform is not there; `called` resolves once a daemon has opened a connection to it. */
        firstLogCall: async (): Promise<{ readonly text: string; readonly called: Promise<void>; }> => {
            const gate = { open: (): void => undefined };
            const called = new Promise<void>(resolve => {
                gate.open = resolve;
            });
            const server = await listen(gatePort, () => gate.open());
            onEnd(() => void server.close());
            return { text: settings({ platform: { url: `http://${HOST}:${gatePort}` } }), called };
        },
        /** Holds an address of the daemon; returns a function that releases it. */
        hold: async (name: keyof typeof ports): Promise<() => void> => {
            const server = await listen(ports[name], () => undefined);
            onEnd(() => void server.close());
            return () => void server.close();
        },
        waitUntilListening: () =>
            waitUntil(
                "the listeners",
                TIMEOUT_MS,
                async () => await isOk(`${caller}/healthz`) && await isOk(`${admin}/healthz`),
            ),
        isReady: () => isOk(`${caller}/readyz`),
        /** Puts the service into force, and waits until it answers through the daemon. */
        release: async (): Promise<void> => {
            await applyRelease({ daemons: [{ admin }], adminKey }, demo.note);
            await waitUntil("the service to be watched", TIMEOUT_MS, async () => await ask() === "200");
        },
        waitUntilServing: () => waitUntil("the daemon to serve", TIMEOUT_MS, async () => await ask() === "200"),
        /** Starts requests that take the service some time, and resolves once it runs them all. */
        startRequests: async (count: number, ms: number): Promise<{ readonly answers: Promise<string[]>; }> => {
            await setDelay(ms);
            const before = await runs();
            const answers = Promise.all(Array.from({ length: count }, ask));
            await waitUntil("the service to run the requests", TIMEOUT_MS, async () => await runs() === before + count);
            await setDelay(0);
            return { answers };
        },
        /** Kinds of the VM's records in the membership stream, in order. */
        membershipRecords: async (): Promise<readonly string[]> => {
            const { text } = await callHttp({ method: "GET", url: `${platform.url}/log/membership?from=0` });
            const { records } = JSON.parse(text) as MembershipPage;
            return records.map(({ data }) => data.kind);
        },
        metrics: async (): Promise<string> => (await callHttp({ method: "GET", url: `${admin}/metrics` })).text,
    };
}
