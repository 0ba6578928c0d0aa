/**
 * Drives the configuration of running daemons through failures: a daemon cut off from the platform, lost append
 * answers, racing operators, records expired before all daemons restart. Exit codes: 0 all as it must be, 1 not.
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
import { moveToLink } from "./moveToLink.js";
import { watchRevisions } from "./watchRevisions.js";

const BOUND_MS = 20_000;
const RETAINED = 4;
const NOTES = 8;
const STATUS_UNAUTHORIZED = 401;

type Daemon = Topology["daemons"][number];

const seconds = (ms: number): string => `${(ms / 1_000).toFixed(2)} s`;

const control = async (url: string, switches: object): Promise<void> => {
    const { status, text } = await callHttp({ method: "POST", url: `${url}/control`, body: switches });
    expectThat(status < 300, "the stand-in to take its switches", text);
};

const changeRate = (rate: number): object => ({
    note: `rate ${rate}`,
    changed: { organisations: [{ id: "drivers", rate, burst: 20_000 }] },
});

const revisionOf = async ({ adminKey }: Topology, { admin }: Daemon): Promise<number> => {
    const { text } = await callHttp({ method: "GET", url: `${admin}/admin/v1/status`, key: adminKey });
    return (JSON.parse(text) as { readonly revision: number; }).revision;
};

const post = async ({ adminKey }: Topology, { admin }: Daemon, note: object, query = ""): Promise<string> => {
    const url = `${admin}/admin/v1/releases${query}`;
    const { text } = await callHttp({ method: "POST", url, key: adminKey, body: note });
    return (JSON.parse(text) as { readonly kind: string; }).kind;
};

const withdrawFromCut = async (topology: Topology, cut: Daemon, key: string, linkUrl: string): Promise<string> => {
    const isRefused = async (): Promise<boolean> => {
        const { status } = await callHttp({ method: "GET", url: `${cut.caller}/v1/models`, key });
        return status === STATUS_UNAUTHORIZED;
    };
    expectThat(!await isRefused(), "the key to work before", cut.vm);
    await control(`${linkUrl}/routes/platform`, { cut: true });
    const url = `${topology.daemons[0]?.admin ?? ""}/admin/v1/keys/key-drivers`;
    await callHttp({ method: "DELETE", url, key: topology.adminKey });
    const took = await waitUntil("the withdrawn key to be refused", BOUND_MS, isRefused);
    await control(`${linkUrl}/routes/platform`, { cut: false });
    return `withdrawn key refused by a daemon cut off from the platform after ${seconds(took)}`;
};

const race = async (topology: Topology): Promise<string> => {
    const [one, two] = topology.daemons as readonly [Daemon, Daemon];
    const base = await revisionOf(topology, one);
    const kinds = await Promise.all(
        [one, two].map((daemon, i) => post(topology, daemon, changeRate(6_000 + i), `?base=${base}`)),
    );
    expectThat(kinds.filter(kind => kind === "accepted").length === 1, "one of two racing notes accepted", kinds);
    return `racing operators: ${kinds.join(" and ")}`;
};

const loseAnswer = async (topology: Topology): Promise<string> => {
    const daemon = topology.daemons[0] as Daemon;
    const base = await revisionOf(topology, daemon);
    await control(topology.platform.url, { loseAnswers: 1 });
    const kind = await post(topology, daemon, changeRate(7_000));
    const after = await revisionOf(topology, daemon);
    expectThat(kind === "accepted" && after === base + 1, "a note with a lost answer to count once", {
        kind,
        base,
        after,
    });
    return `lost append answer: ${kind}, revision ${base} to ${after}`;
};

/** Waits until the log has dropped the first note and holds a snapshot; gives the offset at which it begins. */
const snapshotInLog = async ({ platform }: Topology): Promise<number> => {
    const seen = { start: 0 };
    await waitUntil("a snapshot in a log without its first records", BOUND_MS, async () => {
        const from = `${platform.url}/log/configuration?limit=1000&waitMs=0&from=`;
        const { status, text } = await callHttp({ method: "GET", url: `${from}${seen.start}` });
        const page = JSON.parse(text) as {
            readonly start: number;
            readonly records?: readonly { readonly data: { readonly kind?: string; }; }[];
        };
        seen.start = page.start;
        return status === 200 && page.start > 1 &&
            page.records?.some(record => record.data.kind === "snapshot") === true;
    });
    return seen.start;
};

const restartAll = async (topology: Topology): Promise<string> => {
    await control(topology.platform.url, { retainCount: RETAINED });
    await Array.from({ length: NOTES }).reduce<Promise<void>>(async (before, _, i) => {
        await before;
        await applyRelease(topology, changeRate(8_000 + i));
    }, Promise.resolve());
    const revision = await revisionOf(topology, topology.daemons[0] as Daemon);
    const start = await snapshotInLog(topology);
    await Promise.all(topology.daemons.map(async daemon => {
        daemon.process().signal("SIGKILL");
        await daemon.process().exited;
    }));
    topology.daemons.forEach(daemon => daemon.restart());
    const took = await waitUntil(`revision ${revision} on every daemon`, BOUND_MS, async () => {
        const revisions = await Promise.all(topology.daemons.map(daemon => revisionOf(topology, daemon)));
        return revisions.every(each => each >= revision);
    });
    return `all ${topology.daemons.length} daemons killed and restarted, log begins at offset ${start}: revision `
        + `${revision} in force everywhere after ${seconds(took)}`;
};

const run = (): Promise<void> =>
    withTopology("configuration", demoPlan, async topology => {
        const link = await startStandIn("link", "link", { route: `platform=${new URL(topology.platform.url).host}` });
        try {
            const demo = demoNote(topology);
            const drivers = demo.organisations.find(organisation => organisation.id === "drivers")?.key ?? "";
            const cut = topology.daemons.at(-1) as Daemon;
            await moveToLink(cut, topology.platform.url, link.url);
            console.log(`first note in force everywhere after ${seconds(await applyRelease(topology, demo.note))}`);
            const watch = watchRevisions(topology);
            console.log(await withdrawFromCut(topology, cut, drivers, link.url));
            console.log(await race(topology));
            console.log(await loseAnswer(topology));
            console.log(await restartAll(topology));
            watch.stop();
            expectThat(watch.reversions().length === 0, "no revision to go back", watch.reversions());
            console.log(`${watch.looks()} looks at revisions, none went back`);
            console.log("configuration: ok");
        }
        finally {
            link.signal("SIGTERM");
        }
    });

runProgram("configuration", run);
