import { spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { readProcessUsage } from "../process/readProcessUsage.js";

type VmParts = {
    readonly host: string;
    readonly seeds: readonly string[];
    /** `host:port` of the store. */
    readonly store: string;
    readonly coreShare: number;
    readonly isProfiled: boolean;
};

/** The built program as a process of its own. */
type MeasuredVm = {
    readonly usage: () => { readonly cpuMs: number; readonly residentBytes: number; readonly wakeUps: number; };
    /** A gauge of `/metrics`; undefined if there is none. */
    readonly gauges: () => Promise<ReadonlyMap<string, number>>;
    /** Stops it; resolves with the text of its CPU profile, undefined if there is none. */
    readonly stop: () => Promise<string | undefined>;
};

const PEER_PORT = 7_600;
const METRICS_PORT = 9_464;
const STOP_TIMEOUT_MS = 5_000;

const gaugesOf = (text: string): ReadonlyMap<string, number> =>
    new Map(
        text.split("\n").filter(line => /^\w+ [-\d.e+]+$/.test(line)).map(line => {
            const [name = "", value = ""] = line.split(" ");
            return [name, Number(value)] as const;
        }),
    );

/** Starts the program on an address of its own. */
export function startMeasuredVm({ host, seeds, store, coreShare, isProfiled }: VmParts): MeasuredVm {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-idle-"));
    const settings = join(folder, "settings.yaml");
    const file = {
        vm: "vm-000",
        failureDomain: "d0",
        coreShare,
        host,
        callers: `${host}:8606`,
        ready: `${host}:8605`,
        peerPorts: [PEER_PORT],
        seeds,
        store,
        leavingMs: 2_000,
    };
    writeFileSync(settings, JSON.stringify(file));
    const program = createRequire(import.meta.url).resolve("@azureshunt/platform");
    const child = spawn(
        process.execPath,
        [...(isProfiled ? ["--cpu-prof", `--cpu-prof-dir=${folder}`] : []), program],
        { env: { ...process.env, AZURESHUNT_SETTINGS: settings }, stdio: ["ignore", "ignore", "inherit"] },
    );
    const exited = new Promise<void>(resolve => child.once("exit", () => resolve()));
    const killOnExit = (): void => void child.kill("SIGKILL");
    process.once("exit", killOnExit);
    const usage: MeasuredVm["usage"] = () => {
        const { cpuMs, residentBytes } = readProcessUsage(child.pid ?? 0);
        const status = readFileSync(`/proc/${child.pid ?? 0}/status`, "utf8");
        return {
            cpuMs,
            residentBytes,
            wakeUps: Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(status)?.[1] ?? 0),
        };
    };
    const end = async (): Promise<string | undefined> => {
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
        await exited;
        clearTimeout(timer);
        process.off("exit", killOnExit);
        const profile = readdirSync(folder).find(name => name.endsWith(".cpuprofile"));
        const text = profile === undefined ? undefined : readFileSync(join(folder, profile), "utf8");
        rmSync(folder, { recursive: true, force: true });
        return text;
    };
    const ended = { current: undefined as ReturnType<typeof end> | undefined };
    return {
        usage,
        gauges: async () => gaugesOf(await (await fetch(`http://${host}:${METRICS_PORT}/metrics`)).text()),
        stop: () => ended.current ??= end(),
    };
}
