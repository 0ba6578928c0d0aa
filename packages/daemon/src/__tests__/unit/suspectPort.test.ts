import { setTimeout as sleep } from "node:timers/promises";

import { VmId } from "@azureshunt/core";
import test from "ava";

import { restartedEndpoint } from "../fakes/restartedEndpoint.js";
import { suspectFleet } from "../fakes/suspectFleet.js";

const MAX_WAIT_MS = 5_000;
const RECHECK_MS = 10;
const SLOW_ANSWER_MS = 300;
const SLOW_MESSAGE_MS = 100;

const until = async (holds: () => boolean, left = MAX_WAIT_MS): Promise<boolean> => {
    if (holds() || left <= 0) {
        return holds();
    }
    await sleep(RECHECK_MS);
    return until(holds, left - RECHECK_MS);
};

type Fleet = Awaited<ReturnType<typeof suspectFleet>>;

/** Runs a prompt on an engine that it crashes. */
const crash = (fleet: Fleet, vm: string, prompt: string, endpoint: string, url?: string): Promise<void> =>
    fleet.port(vm).running(fleet.call(prompt), fleet.place(endpoint, url)).end("broke");

const ALL = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];

// If a VM answers late what it ran, a crashing request may meanwhile run on a third engine.
test("suspects: a request that was running at two deaths is held while a VM has not answered", async t => {
    const fleet = await suspectFleet(t);
    fleet.peers.cut.add(VmId.parse("vm-3"));
    await crash(fleet, "vm-1", "poison", "engine-1");
    t.true(fleet.mayRun("vm-1", "poison"), "one death decides nothing");
    await crash(fleet, "vm-1", "poison", "engine-2");
    t.false(fleet.mayRun("vm-1", "poison"));
    t.true(await until(() => !fleet.mayRun("vm-2", "poison")), "also on VMs that received it");
    t.true(fleet.mayRun("vm-1", "question"));
});

// Without the late answer a held request would neither be cleared nor found to be the cause.
test("suspects: a late answer of a VM completes the checks of the deaths", async t => {
    const fleet = await suspectFleet(t);
    fleet.peers.cut.add(VmId.parse("vm-3"));
    await crash(fleet, "vm-1", "poison", "engine-1");
    await crash(fleet, "vm-1", "poison", "engine-2");
    fleet.peers.cut.clear();
    const isQuarantined = (vm: string): boolean =>
        fleet.port(vm).check(fleet.call("poison")).caseOf({
            Left: ({ kind }) => kind === "request-crashes-endpoints",
            Right: () => false,
        });
    t.true(await until(() => ALL.every(isQuarantined)));
});

// If a first death whose check is slow counts as none, the second death alone does not show the cause.
test("suspects: a request whose second try broke off waits until the first death has been checked too", async t => {
    const fleet = await suspectFleet(t);
    const url = await restartedEndpoint(t, SLOW_ANSWER_MS);
    const first = crash(fleet, "vm-1", "poison", "engine-1", url);
    await crash(fleet, "vm-1", "poison", "engine-2");
    t.false(fleet.mayRun("vm-1", "poison"));
    await first;
});

// A VM that misses the message about a quarantine runs the request on one more endpoint.
test("suspects: a lost message about a quarantine is resent", async t => {
    const fleet = await suspectFleet(t);
    fleet.peers.loses = (to, kind, body) => to === "vm-3" && (kind === "quarantine" || "gathered" in body);
    await crash(fleet, "vm-1", "poison", "engine-1");
    await crash(fleet, "vm-1", "poison", "engine-2");
    t.false(fleet.mayRun("vm-2", "poison"));
    t.true(fleet.mayRun("vm-3", "poison"), "nothing reached it");
    // Queries that vm-3 itself sends after its start stay lost.
    fleet.peers.loses = (to, kind) => to !== "vm-3" && kind === "quarantine";
    t.true(await until(() => !fleet.mayRun("vm-3", "poison")));
});

// The caller of a refused request may turn to a VM that has not received the quarantine yet.
test("suspects: a crashing request is refused only after the other VMs have received the quarantine", async t => {
    const fleet = await suspectFleet(t);
    fleet.peers.delayMs = SLOW_MESSAGE_MS;
    await crash(fleet, "vm-1", "poison", "engine-1");
    await crash(fleet, "vm-1", "poison", "engine-2");
    t.deepEqual(ALL.filter(vm => fleet.mayRun(vm, "poison")), []);
});

// If copies of a crashing request run at once, each crashes an engine before the first death is noticed.
test("suspects: of two VMs that run the same suspect at once, one waits", async t => {
    const fleet = await suspectFleet(t);
    await crash(fleet, "vm-1", "poison", "engine-1");
    t.true(await until(() => ALL.every(fleet.knowsDeath)));
    fleet.peers.delayMs = SLOW_MESSAGE_MS;
    const admit = (vm: string, endpoint: string) => fleet.port(vm).admit(fleet.call("poison"), fleet.place(endpoint));
    const admissions = await Promise.all([admit("vm-4", "engine-2"), admit("vm-2", "engine-3")]);
    t.deepEqual(admissions, ["request-busy", "admitted"]);
});

// If two suspects run on one engine again, its death does not show which of them is the cause.
test("suspects: a suspect is not admitted to an endpoint where the answer of another one has not begun", async t => {
    const fleet = await suspectFleet(t);
    const died = ["poison", "question"].map((prompt, i) => crash(fleet, `vm-${i + 1}`, prompt, "engine-1"));
    await Promise.all(died);
    t.true(await until(() => ALL.every(fleet.knowsDeath)));
    const { port, call, place } = fleet;
    const [poison, question] = [call("poison"), call("question")];
    const placement = place("engine-2");
    t.is(await port("vm-1").admit(poison, placement), "admitted");
    const run = port("vm-1").running(poison, placement);
    t.is(await port("vm-2").admit(question, place("engine-2")), "endpoint-busy");
    run.answering();
    t.is(await port("vm-2").admit(question, place("engine-2")), "admitted");
});

// A VM that has received no message would run a request that has crashed two engines as if for the first time.
test("suspects: a VM learns from others of a request's deaths before it runs it again", async t => {
    const fleet = await suspectFleet(t);
    fleet.peers.loses = (_to, kind, body) => kind === "quarantine" || "gathered" in body;
    await crash(fleet, "vm-1", "poison", "engine-1");
    await crash(fleet, "vm-1", "poison", "engine-2");
    t.true(fleet.mayRun("vm-2", "poison"), "nothing reached it");
    await crash(fleet, "vm-2", "poison", "engine-3");
    t.not(await fleet.port("vm-2").admit(fleet.call("poison"), fleet.place("engine-4")), "admitted");
    t.false(fleet.mayRun("vm-2", "poison"));
});

// A failure domain that is cut off must continue to serve unrelated requests that were running when an endpoint died.
test("suspects: a suspect is admitted although other VMs are unreachable", async t => {
    const fleet = await suspectFleet(t);
    ALL.slice(1).forEach(vm => fleet.peers.cut.add(VmId.parse(vm)));
    await crash(fleet, "vm-1", "question", "engine-1");
    t.is(await fleet.port("vm-1").admit(fleet.call("question"), fleet.place("engine-2")), "admitted");
});

// A restarted VM has lost the deaths, and would run a held request as if for the first time.
test("suspects: a VM learns after its start which requests are held", async t => {
    const fleet = await suspectFleet(t);
    fleet.peers.cut.add(VmId.parse("vm-5"));
    await crash(fleet, "vm-1", "poison", "engine-1");
    await crash(fleet, "vm-1", "poison", "engine-2");
    fleet.start("vm-6");
    t.true(await until(() => !fleet.mayRun("vm-6", "poison")));
});
