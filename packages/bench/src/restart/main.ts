/** Measures the time from the start of a daemon to its first served request while the platform is up, slow or down. */
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
const SERVE_TIMEOUT_MS = 30_000;
const SLOW_LATENCY_MS = 1_500;

/** One condition under which daemons restart. */
type Scenario = {
    readonly name: string;
    /** Fault switches of the platform stand-in while the daemons restart. */
    readonly platform: object;
    /** Number of daemons that are killed and started again at the same time. */
    readonly restartedDaemons: number;
};

const SCENARIOS: readonly Scenario[] = [
    { name: "one daemon, platform up", platform: {}, restartedDaemons: 1 },
    { name: "one daemon, platform slow (1.5 s a call)", platform: { latencyMs: SLOW_LATENCY_MS }, restartedDaemons: 1 },
    { name: "one daemon, platform down", platform: { down: true }, restartedDaemons: 1 },
    { name: "all six daemons, platform up", platform: {}, restartedDaemons: 6 },
    {
        name: "all six daemons, platform slow (1.5 s a call)",
        platform: { latencyMs: SLOW_LATENCY_MS },
        restartedDaemons: 6,
    },
];

const killDaemon = async (daemon: DaemonProcess): Promise<void> => {
    const { signal, exited } = daemon.process();
    signal("SIGKILL");
    await exited;
};

const waitUntilServed = (daemon: DaemonProcess, demo: ReturnType<typeof demoNote>): Promise<number> =>
    waitUntil(`${daemon.vm} to serve`, SERVE_TIMEOUT_MS, async () => {
        const key = demo.organisations[0]?.key ?? "";
        const chat = await streamChat(daemon.caller, key, demo.model, [{ role: "user", content: "ready?" }], 1);
        return chat.complete;
    });

const measure = async (topology: Topology, demo: ReturnType<typeof demoNote>, scenario: Scenario): Promise<void> => {
    const control = (body: object) => callHttp({ method: "POST", url: `${topology.platform.url}/control`, body });
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const daemons = topology.daemons.slice(0, scenario.restartedDaemons);
    const response = await control(scenario.platform);
    if (response.status !== 200) {
        throw new Error(`the platform refused its switches: ${response.text}`);
    }
    await Promise.all(daemons.map(killDaemon));
    daemons.forEach(daemon => daemon.restart());
    const times = await Promise.all(daemons.map(daemon => waitUntilServed(daemon, demo)));
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
