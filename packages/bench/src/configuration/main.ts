/**
 * Checks the configuration of running daemons under failures: a daemon disconnected from the platform, lost append
 * answers, concurrent releases by two operators, records expired before all daemons restart. Exit codes: 0 all checks
 * passed, 1 one failed.
 */
import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { expectThat } from "../demo/expectThat.js";
import { runProgram } from "../process/runProgram.js";
import { applyRelease } from "../topology/applyRelease.js";
import { callHttp } from "../topology/callHttp.js";
import { startStandIn } from "../topology/startStandIn.js";
import type { Topology } from "../topology/Topology.js";
import { waitUntil } from "../topology/waitUntil.js";
import { withTopology } from "../topology/withTopology.js";
import { routeThroughLink } from "./routeThroughLink.js";
import { watchRevisions } from "./watchRevisions.js";

const TIMEOUT_MS = 20_000;
const RETAINED_RECORDS = 4;
const RELEASE_COUNT = 8;
const STATUS_UNAUTHORIZED = 401;

type Daemon = Topology["daemons"][number];

const formatSeconds = (ms: number): string => `${(ms / 1_000).toFixed(2)} s`;

const setSwitches = async (url: string, switches: object): Promise<void> => {
    const { status, text } = await callHttp({ method: "POST", url: `${url}/control`, body: switches });
    expectThat(status < 300, "the stand-in to take its switches", text);
};

const rateChange = (rate: number): object => ({
    note: `rate ${rate}`,
    changed: { organisations: [{ id: "drivers", rate, burst: 20_000 }] },
});

const revisionOf = async ({ adminKey }: Topology, { admin }: Daemon): Promise<number> => {
    const { text } = await callHttp({ method: "GET", url: `${admin}/admin/v1/status`, key: adminKey });
    return (JSON.parse(text) as { readonly revision: number; }).revision;
};

const postRelease = async ({ adminKey }: Topology, { admin }: Daemon, note: object, query = ""): Promise<string> => {
    const url = `${admin}/admin/v1/releases${query}`;
    const { text } = await callHttp({ method: "POST", url, key: adminKey, body: note });
    return (JSON.parse(text) as { readonly kind: string; }).kind;
};

const withdrawKeyWhileDisconnected = async (
    topology: Topology,
    disconnected: Daemon,
    key: string,
    linkUrl: string,
): Promise<string> => {
    const isRefused = async (): Promise<boolean> => {
        const { status } = await callHttp({ method: "GET", url: `${disconnected.caller}/v1/models`, key });
        return status === STATUS_UNAUTHORIZED;
    };
    expectThat(!await isRefused(), "the key to work before", disconnected.vm);
    await setSwitches(`${linkUrl}/routes/platform`, { cut: true });
    const url = `${topology.daemons[0]?.admin ?? ""}/admin/v1/keys/key-drivers`;
    await callHttp({ method: "DELETE", url, key: topology.adminKey });
    const elapsedMs = await waitUntil("the withdrawn key to be refused", TIMEOUT_MS, isRefused);
    await setSwitches(`${linkUrl}/routes/platform`, { cut: false });
    return `withdrawn key refused by a daemon cut off from the platform after ${formatSeconds(elapsedMs)}`;
};

const raceOperators = async (topology: Topology): Promise<string> => {
    const [first, second] = topology.daemons as readonly [Daemon, Daemon];
    const base = await revisionOf(topology, first);
    const kinds = await Promise.all(
        [first, second].map((daemon, i) => postRelease(topology, daemon, rateChange(6_000 + i), `?base=${base}`)),
    );
    expectThat(kinds.filter(kind => kind === "accepted").length === 1, "one of two racing notes accepted", kinds);
    return `racing operators: ${kinds.join(" and ")}`;
};

const loseAppendAnswer = async (topology: Topology): Promise<string> => {
    const daemon = topology.daemons[0] as Daemon;
    const base = await revisionOf(topology, daemon);
    await setSwitches(topology.platform.url, { loseAnswers: 1 });
    const kind = await postRelease(topology, daemon, rateChange(7_000));
    const after = await revisionOf(topology, daemon);
    expectThat(kind === "accepted" && after === base + 1, "a note with a lost answer to count once", {
        kind,
        base,
        after,
    });
    return `lost append answer: ${kind}, revision ${base} to ${after}`;
};

/** Waits until the log has dropped the first note and contains a snapshot; returns the log's first offset. */
const waitForSnapshot = async ({ platform }: Topology): Promise<number> => {
    const log = { start: 0 };
    await waitUntil("a snapshot in a log without its first records", TIMEOUT_MS, async () => {
        const from = `${platform.url}/log/configuration?limit=1000&waitMs=0&from=`;
        const { status, text } = await callHttp({ method: "GET", url: `${from}${log.start}` });
        const page = JSON.parse(text) as {
            readonly start: number;
            readonly records?: readonly { readonly data: { readonly kind?: string; }; }[];
        };
        log.start = page.start;
        return status === 200 && page.start > 1 &&
            page.records?.some(record => record.data.kind === "snapshot") === true;
    });
    return log.start;
};

const killAndRestartAll = async (topology: Topology): Promise<string> => {
    await setSwitches(topology.platform.url, { retainCount: RETAINED_RECORDS });
    await Array.from({ length: RELEASE_COUNT }).reduce<Promise<void>>(async (before, _, i) => {
        await before;
        await applyRelease(topology, rateChange(8_000 + i));
    }, Promise.resolve());
    const revision = await revisionOf(topology, topology.daemons[0] as Daemon);
    const start = await waitForSnapshot(topology);
    await Promise.all(topology.daemons.map(async daemon => {
        daemon.process().signal("SIGKILL");
        await daemon.process().exited;
    }));
    topology.daemons.forEach(daemon => daemon.restart());
    const elapsedMs = await waitUntil(`revision ${revision} on every daemon`, TIMEOUT_MS, async () => {
        const revisions = await Promise.all(topology.daemons.map(daemon => revisionOf(topology, daemon)));
        return revisions.every(each => each >= revision);
    });
    return `all ${topology.daemons.length} daemons killed and restarted, log begins at offset ${start}: revision `
        + `${revision} in force everywhere after ${formatSeconds(elapsedMs)}`;
};

const run = (): Promise<void> =>
    withTopology("configuration", demoPlan, async topology => {
        const link = await startStandIn("link", "link", { route: `platform=${new URL(topology.platform.url).host}` });
        try {
            const demo = demoNote(topology);
            const driversKey = demo.organisations.find(organisation => organisation.id === "drivers")?.key ?? "";
            const disconnected = topology.daemons.at(-1) as Daemon;
            await routeThroughLink(disconnected, topology.platform.url, link.url);
            console.log(
                `first note in force everywhere after ${formatSeconds(await applyRelease(topology, demo.note))}`,
            );
            const watch = watchRevisions(topology);
            console.log(await withdrawKeyWhileDisconnected(topology, disconnected, driversKey, link.url));
            console.log(await raceOperators(topology));
            console.log(await loseAppendAnswer(topology));
            console.log(await killAndRestartAll(topology));
            watch.stop();
            expectThat(watch.reversions().length === 0, "no revision to go back", watch.reversions());
            console.log(`${watch.polls()} looks at revisions, none went back`);
            console.log("configuration: ok");
        }
        finally {
            link.signal("SIGTERM");
        }
    });

runProgram("configuration", run);
