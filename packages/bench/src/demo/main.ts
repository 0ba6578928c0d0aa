/** Runs the demonstration: `demo [--keep --state FILE]`. Exit codes: 0 all steps passed, 1 a step failed. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { cac } from "cac";

import { startTopology } from "../topology/startTopology.js";
import type { Topology } from "../topology/Topology.js";
import { demoNote } from "./demoNote.js";
import { demoPlan } from "./demoPlan.js";
import { runSteps } from "./runSteps.js";

const PARENT_CHECK_MS = 500;

type Options = { readonly keep?: boolean; readonly state?: string; };

const writeState = (file: string, topology: Topology, demo: ReturnType<typeof demoNote>): void => {
    const { platform, endpoints, daemons, adminKey } = topology;
    const state = {
        daemons: daemons.map(({ vm, failureDomain, caller, admin, process: currentProcess }) => ({
            vm,
            failureDomain,
            caller,
            admin,
            pid: currentProcess().pid,
        })),
        platform: { url: platform.url, pid: platform.pid },
        endpoints: endpoints.map(({ name, kind, failureDomain, url, pid }) => ({
            name,
            kind,
            failureDomain,
            url,
            pid,
        })),
        organisations: demo.organisations.map(({ id, key, rate, burst }) => ({ id, key, rate, burst })),
        adminKey,
        model: demo.model,
        service: { name: demo.service, nonRepeatablePath: "/bookings", repeatablePath: "/lookup" },
    };
    writeFileSync(file, `${JSON.stringify(state, undefined, 4)}\n`, { mode: 0o600 });
};

/**
 * Resolves when this process must stop: on a signal, or when its parent process is gone. `npm run` sends a signal to an
 * intermediate shell, which dies without forwarding it; this process then sees a different parent process id.
 */
const waitForStop = (): Promise<void> =>
    new Promise(resolve => {
        const parent = process.ppid;
        const orphaned = setInterval(() => process.ppid === parent ? undefined : resolve(), PARENT_CHECK_MS);
        orphaned.unref();
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });

const run = async (options: Options): Promise<void> => {
    const folder = mkdtempSync(join(tmpdir(), "azureshunt-demo-"));
    const stopRequested = waitForStop();
    const topology = await startTopology(demoPlan(folder));
    try {
        console.log(`started ${topology.daemons.length} daemons and ${topology.endpoints.length} endpoints`);
        const demo = demoNote(topology);
        await runSteps({ topology, demo, folder, print: line => console.log(line) });
        console.log("demo: ok");
        if (options.state !== undefined) {
            writeState(options.state, topology, demo);
        }
        if (options.keep === true) {
            console.log(`running until interrupted; state in ${options.state ?? "no file (give --state FILE)"}`);
            await stopRequested;
        }
    }
    finally {
        await topology.stop();
        rmSync(folder, { recursive: true, force: true });
    }
};

const cli = cac("demo");
cli.option("--keep", "leave everything running until interrupted");
cli.option("--state <file>", "write addresses, keys and process ids to this file");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    run(options as Options).then(
        () => process.exit(0),
        (err: unknown) => {
            console.error(`demo: failed: ${err instanceof Error ? err.message : String(err)}`);
            process.exit(1);
        },
    );
}
