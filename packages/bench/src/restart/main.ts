/** Measures the time from the start of a daemon to its first served request, with the platform up, slow and down. */
import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { streamChat } from "../demo/streamChat.js";
import { runProgram } from "../process/runProgram.js";
import { applyRelease } from "../topology/applyRelease.js";
import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";
import type { Topology } from "../topology/Topology.js";
import { waitUntil } from "../topology/waitUntil.js";
import { withTopology } from "../topology/withTopology.js";

const SETTLE_MS = 4_000;
const BOUND_MS = 30_000;
const SLOW_MS = 1_500;

/** One way of restarting. */
type Scenario = {
    readonly name: string;
    /** Switches of the platform while the daemons restart. */
    readonly platform: object;
    /** How many daemons are killed and started again at once. */
    readonly restarted: number;
};

const SCENARIOS: readonly Scenario[] = [
    { name: "one daemon, platform up", platform: {}, restarted: 1 },
    { name: "one daemon, platform slow (1.5 s a call)", platform: { latencyMs: SLOW_MS }, restarted: 1 },
    { name: "one daemon, platform down", platform: { down: true }, restarted: 1 },
    { name: "all six daemons, platform up", platform: {}, restarted: 6 },
    { name: "all six daemons, platform slow (1.5 s a call)", platform: { latencyMs: SLOW_MS }, restarted: 6 },
];

const kill = async (daemon: DaemonProcess): Promise<void> => {
    const { signal, exited } = daemon.process();
    signal("SIGKILL");
    await exited;
};

const untilServed = (daemon: DaemonProcess, demo: ReturnType<typeof demoNote>): Promise<number> =>
    waitUntil(`${daemon.vm} to serve`, BOUND_MS, async () => {
        const key = demo.organisations[0]?.key ?? "";
        const chat = await streamChat(daemon.caller, key, demo.model, [{ role: "user", content: "ready?" }], 1);
        return chat.complete;
    });

const measure = async (topology: Topology, demo: ReturnType<typeof demoNote>, scenario: Scenario): Promise<void> => {
    const control = (body: object) => callHttp({ method: "POST", url: `${topology.platform.url}/control`, body });
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const daemons = topology.daemons.slice(0, scenario.restarted);
    const switched = await control(scenario.platform);
    if (switched.status !== 200) {
        throw new Error(`the platform refused its switches: ${switched.text}`);
    }
    await Promise.all(daemons.map(kill));
    daemons.forEach(daemon => daemon.restart());
    const times = await Promise.all(daemons.map(daemon => untilServed(daemon, demo)));
    await control({ down: false, latencyMs: 0 });
    console.log(
        `${scenario.name}: first request served after ${(Math.max(...times) / 1_000).toFixed(2)} s at the latest`,
    );
};

const run = (): Promise<void> =>
    withTopology("restart", demoPlan, async topology => {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        await SCENARIOS.reduce<Promise<void>>(
            (before, scenario) => before.then(() => measure(topology, demo, scenario)),
            Promise.resolve(),
        );
    });

runProgram("measure:restart", run);
