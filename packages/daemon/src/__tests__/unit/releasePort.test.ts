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

const until = async (holds: () => boolean): Promise<void> => {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};
const revisionOf = (release: Release): number => release.current()?.revision ?? 0;

test("a daemon that is cut off from the platform but not from its peers learns a withdrawal", async t => {
    // A daemon cut off from the log serves a withdrawn key on, though a peer in reach has read the withdrawal.
    const [log, peers, cut] = [new FakeLog(), new FakePeers(), { is: false }];
    const near = startDaemon("vm-1", log, peers);
    const far = startDaemon("vm-2", log, peers, () => cut.is);
    t.deepEqual(await near.accept(FIRST), { kind: "accepted", revision: 1 });
    await until(() => revisionOf(far) === 1);
    cut.is = true;
    await near.accept(WITHDRAWAL);
    await until(() => revisionOf(far) === 2);
    t.deepEqual([...far.current()?.withdrawnKeys.keys() ?? []], ["k1" as never]);
    [near, far].forEach(each => each.stop());
});

test("a lost answer: the note is in force once, and the operator is told so", async t => {
    // The answer to an append is lost, and the operator gets a conflict with the own change.
    const log = new FakeLog();
    const release = startDaemon("vm-1", log, new FakePeers());
    log.loseAnswers = 1;
    t.deepEqual(await release.accept(FIRST, "op-1" as RecordId), { kind: "accepted", revision: 1 });
    t.is(log.records.length, 1);
    t.deepEqual(await release.accept(FIRST, "op-1" as RecordId), { kind: "accepted", revision: 1 });
    t.is(log.records.length, 1);
    release.stop();
});

test("a refused append is repeated under the same id", async t => {
    const log = new FakeLog();
    const release = startDaemon("vm-1", log, new FakePeers());
    log.refuseAppends = 2;
    t.deepEqual(await release.accept(FIRST), { kind: "accepted", revision: 1 });
    t.is(log.records.length, 1);
    release.stop();
});

test("with the log down the operator is told that the note was not taken", async t => {
    const release = startDaemon("vm-1", new FakeLog(), new FakePeers(), () => true);
    t.deepEqual(await release.accept(FIRST, "op-1" as RecordId), { kind: "not-appended", id: "op-1" as RecordId });
    release.stop();
});

test("with the log down a restarted daemon serves what its peers know", async t => {
    const [log, peers] = [new FakeLog(), new FakePeers()];
    const old = startDaemon("vm-1", log, peers);
    await old.accept(FIRST);
    const restarted = startDaemon("vm-2", log, peers, () => true);
    await until(() => revisionOf(restarted) === 1);
    t.true(restarted.staleness() < Number.POSITIVE_INFINITY);
    [old, restarted].forEach(each => each.stop());
});

test("racing operators at two daemons: one note is accepted, the other conflicts, on both alike", async t => {
    const [log, peers] = [new FakeLog(), new FakePeers()];
    const daemons = ["vm-1", "vm-2"].map(name => startDaemon(name, log, peers));
    const outcomes = await Promise.all(daemons.map(each => each.accept(FIRST)));
    t.deepEqual(outcomes.map(outcome => outcome.kind).sort(), ["accepted", "conflict"]);
    await until(() => daemons.every(each => each.reader().fold.offset === 2));
    t.is(new Set(daemons.map(each => each.reader().fold.digest)).size, 1);
    daemons.forEach(each => each.stop());
});
