import { writeFileSync } from "node:fs";
import { request } from "node:http";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import { waitUntil } from "../topology/waitUntil.js";
import { startCostProcess } from "./startCostProcess.js";

type RouterPlan = {
    readonly folder: string;
    /** Address of the loopback interface that no other router uses, since the ports are fixed. */
    readonly host: string;
    /** `host:port` of the store. */
    readonly store: string;
    /** Whether the process writes a CPU profile into the folder when it ends. */
    readonly isProfiled: boolean;
};

const PROGRAM = fileURLToPath(new URL("../../../../platform/dist/main.js", import.meta.url));
const CALLERS_PORT = 8_606;
const READY_PORT = 8_605;
const PEER_PORT = 7_600;
const READY_TIMEOUT_MS = 20_000;
const OK = 200;

const isReady = (host: string): Promise<boolean> =>
    new Promise(resolve => {
        const req = request({ host, port: READY_PORT, path: "/ready", agent: false }, res => {
            res.resume();
            resolve(res.statusCode === OK);
        });
        req.on("error", () => resolve(false));
        req.end();
    });

/** Starts the built router of the users' platform as the only VM, and waits until it is ready. */
export async function startCostRouter(plan: RouterPlan) {
    const settings = join(plan.folder, `${plan.host}.yaml`);
    const address = `${plan.host}:${CALLERS_PORT}`;
    writeFileSync(
        settings,
        JSON.stringify({
            vm: `vm-${plan.host}`,
            failureDomain: "z",
            isFirstStart: true,
            host: plan.host,
            callers: address,
            ready: `${plan.host}:${READY_PORT}`,
            peerPorts: [PEER_PORT],
            seeds: [],
            store: plan.store,
        }),
    );
    const flags = plan.isProfiled ? ["--cpu-prof", `--cpu-prof-dir=${plan.folder}`, "--cpu-prof-interval=500"] : [];
    const router = startCostProcess([...flags, PROGRAM], { AZURESHUNT_SETTINGS: settings });
    await waitUntil("the router to be ready", READY_TIMEOUT_MS, () => isReady(plan.host));
    return { address, pid: router.pid, stop: router.stop };
}
