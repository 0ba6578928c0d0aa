import { setTimeout as sleep } from "node:timers/promises";

import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";

const FREEZE_MS = 4_000;
const OUTAGE_MS = 2_500;
const RESTART_MS = 500;
const CUT_AFTER_TOKENS = 5;

/** Chooses one item at random. */
type Choose = <Item>(items: readonly Item[]) => Item;

/** Injects a fault; resolves when the fault is over, or at once if it is not undone. */
type Fault = (topology: Topology, choose: Choose) => Promise<void>;

const setSwitches = async (url: string, switches: object): Promise<void> => {
    await callHttp({ method: "POST", url: `${url}/control`, body: switches });
};

const engines = ({ endpoints }: Topology) =>
    endpoints.filter(({ kind, hasExited }) => kind === "model" && !hasExited());
const services = ({ endpoints }: Topology) =>
    endpoints.filter(({ kind, hasExited }) => kind === "service" && !hasExited());

const onEngine = (switches: object): Fault => (topology, choose) =>
    setSwitches(choose(engines(topology)).url, switches);
const onServices = (switches: object): Fault => async topology => {
    await Promise.all(services(topology).map(({ url }) => setSwitches(url, switches)));
};

const killDaemon: Fault = async ({ daemons }, choose) => {
    const daemon = choose(daemons);
    daemon.process().signal("SIGKILL");
    await daemon.process().exited;
    await sleep(RESTART_MS);
    daemon.restart();
};
const freezeDaemon: Fault = async ({ daemons }, choose) => {
    const running = choose(daemons).process();
    running.signal("SIGSTOP");
    await sleep(FREEZE_MS);
    running.signal("SIGCONT");
};
const freezeEngine: Fault = async (topology, choose) => {
    const engine = choose(engines(topology));
    engine.signal("SIGSTOP");
    await sleep(FREEZE_MS);
    engine.signal("SIGCONT");
};
const logDown: Fault = async ({ platform }) => {
    await setSwitches(platform.url, { downParts: ["log"] });
    await sleep(OUTAGE_MS);
    await setSwitches(platform.url, { downParts: [] });
};

const requestFaults: Readonly<Record<string, Fault>> = {
    "kill-engine": (topology, choose) => Promise.resolve(choose(engines(topology)).signal("SIGKILL")),
    "freeze-engine": freezeEngine,
    "silent-engine": onEngine({ silent: true }),
    "cut-streams": onEngine({ cutStreams: 4, cutAfterTokens: CUT_AFTER_TOKENS }),
    "stall-streams": onEngine({ stallStreams: 4, cutAfterTokens: CUT_AFTER_TOKENS }),
    "skip-tokens": onEngine({ skipTokens: 4, cutAfterTokens: CUT_AFTER_TOKENS }),
    "repeat-tokens": onEngine({ repeatTokens: 4, cutAfterTokens: CUT_AFTER_TOKENS }),
    "cross-answers": onEngine({ crossAnswers: 4 }),
    "kill-service": (topology, choose) => Promise.resolve(choose(services(topology)).signal("SIGKILL")),
    "lose-service-answers": onServices({ loseAnswers: 4 }),
    "refuse-service": onServices({ refuse: 3 }),
    "cross-service-answers": onServices({ crossAnswers: 2 }),
    "kill-daemon": killDaemon,
    "freeze-daemon": freezeDaemon,
    "log-down": logDown,
    "log-loses-answers": ({ platform }) => setSwitches(platform.url, { loseAnswers: 8 }),
};

export { requestFaults };
