import type { RecordId } from "@azureshunt/core";
import { VmId } from "@azureshunt/core";
import { ReleaseNote } from "@azureshunt/release";
import test from "ava";

import { createReleasePort } from "../../configuration/createReleasePort.js";
import { fakeContext } from "../fakes/fakeContext.js";
import { FakeLog } from "../fakes/FakeLog.js";
import { FakePeers } from "../fakes/FakePeers.js";

type Release = ReturnType<typeof createReleasePort>;

const KEY = "a".repeat(64);
const FIRST = ReleaseNote.parse({
    note: "first",
    base: 0,
    added: {
        organisations: [{ id: "chains", rate: 1, burst: 1 }],
        keys: [{ id: "k1", organisation: "chains", digest: KEY }],
    },
});
const WITHDRAWAL = ReleaseNote.parse({ note: "withdraw", withdrawn: { keys: ["k1"] } });

const startDaemon = (name: string, log: FakeLog, peers: FakePeers, isCut = (): boolean => false): Release => {
    const vm = VmId.parse(name);
    return createReleasePort({ ...fakeContext().ctx, log: log.port(isCut), peers: peers.portOf(vm) });
};

const waitUntil = async (holds: () => boolean): Promise<void> => {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};
const revisionOf = (release: Release): number => release.current()?.revision ?? 0;

test("a daemon that can reach its peers but not the log learns of a key's withdrawal", async t => {
    // Without gossip, a daemon that cannot reach the log would accept a withdrawn key that a reachable peer refuses.
    const [log, peers, cut] = [new FakeLog(), new FakePeers(), { is: false }];
    const connected = startDaemon("vm-1", log, peers);
    const cutOff = startDaemon("vm-2", log, peers, () => cut.is);
    t.deepEqual(await connected.accept(FIRST), { kind: "accepted", revision: 1 });
    await waitUntil(() => revisionOf(cutOff) === 1);
    cut.is = true;
    await connected.accept(WITHDRAWAL);
    await waitUntil(() => revisionOf(cutOff) === 2);
    t.deepEqual([...cutOff.current()?.withdrawnKeys.keys() ?? []], ["k1" as never]);
    [connected, cutOff].forEach(each => each.stop());
});

test("if the answer to an append is lost, the note is accepted once and reported as accepted", async t => {
    // Appended a second time as another record, the operator's note would conflict with itself.
    const log = new FakeLog();
    const release = startDaemon("vm-1", log, new FakePeers());
    log.loseAnswers = 1;
    t.deepEqual(await release.accept(FIRST, "op-1" as RecordId), { kind: "accepted", revision: 1 });
    t.is(log.records.length, 1);
    t.deepEqual(await release.accept(FIRST, "op-1" as RecordId), { kind: "accepted", revision: 1 });
    t.is(log.records.length, 1);
    release.stop();
});

test("a refused append is retried under the same id", async t => {
    const log = new FakeLog();
    const release = startDaemon("vm-1", log, new FakePeers());
    log.refuseAppends = 2;
    t.deepEqual(await release.accept(FIRST), { kind: "accepted", revision: 1 });
    t.is(log.records.length, 1);
    release.stop();
});

test("while the log is unreachable, the outcome is not-appended", async t => {
    const release = startDaemon("vm-1", new FakeLog(), new FakePeers(), () => true);
    t.deepEqual(await release.accept(FIRST, "op-1" as RecordId), { kind: "not-appended", id: "op-1" as RecordId });
    release.stop();
});

test("while the log is unreachable, a restarted daemon adopts the configuration of its peers", async t => {
    const [log, peers] = [new FakeLog(), new FakePeers()];
    const old = startDaemon("vm-1", log, peers);
    await old.accept(FIRST);
    const restarted = startDaemon("vm-2", log, peers, () => true);
    await waitUntil(() => revisionOf(restarted) === 1);
    t.true(restarted.staleness() < Number.POSITIVE_INFINITY);
    [old, restarted].forEach(each => each.stop());
});

test("of two concurrent notes one is accepted, one conflicts, and both daemons reach the same state", async t => {
    const [log, peers] = [new FakeLog(), new FakePeers()];
    const daemons = ["vm-1", "vm-2"].map(name => startDaemon(name, log, peers));
    const outcomes = await Promise.all(daemons.map(each => each.accept(FIRST)));
    t.deepEqual(outcomes.map(outcome => outcome.kind).sort(), ["accepted", "conflict"]);
    await waitUntil(() => daemons.every(each => each.reader().fold.offset === 2));
    t.is(new Set(daemons.map(each => each.reader().fold.digest)).size, 1);
    daemons.forEach(each => each.stop());
});
