import { createClock } from "@azureshunt/core";
import type { SuspectKey } from "@azureshunt/quarantine";
import test from "ava";
import { pino } from "pino";

import type { Beacon } from "../../peers/Beacon.js";
import { isProber } from "../../quarantine/isProber.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { startQuarantine } from "../support/startQuarantine.js";

const served = {
    caller: { key: "key", method: "POST", host: "host", target: "/v1" },
    body: Buffer.from("poison"),
} as unknown as ServedRequest;
const endpoint = (name: string) => ({ name, address: name, bornAt: 1 }) as unknown as EndpointEntry;

const settlesFirst = (a: Promise<unknown>, b: Promise<unknown>): Promise<"first" | "second"> =>
    Promise.race([a.then(() => "first" as const), b.then(() => "second" as const)]);

// A first death that is checked slowly counts as none, and the request is run by one more engine.
test("quarantine: a request whose second try broke off waits for the result of the first one too", async t => {
    const first: { settleCheck?: (died: boolean) => void; } = {};
    const { reportBrokenTry } = startQuarantine({
        clock: createClock(),
        hasDied: address =>
            address === "engine-1" ? new Promise(resolve => (first.settleCheck = resolve)) : Promise.resolve(true),
    });
    await reportBrokenTry(served, endpoint("engine-1"), "begun");
    const second = reportBrokenTry(served, endpoint("engine-2"), "begun");
    const timeout = new Promise<void>(resolve => setTimeout(resolve, 50));
    t.is(await settlesFirst(second, timeout), "second", "it waits");
    first.settleCheck?.(true);
    await second;
});

// A death that only its observer sends stays in one failure domain, and the request crashes three endpoints in each
// domain.
test("quarantine: a received death is sent on once", t => {
    const time = { now: 0 };
    const { applyBeacon, beaconFields } = startQuarantine({
        clock: { now: () => time.now, epoch: () => time.now },
        hasDied: () => Promise.resolve(false),
    });
    const beacon = { ...emptyBeacon, deaths: [["request", "engine-1/1"]] } as unknown as Beacon;
    applyBeacon(beacon);
    t.deepEqual(beaconFields().deaths as unknown, [["request", "engine-1/1"]]);
    time.now = 2_000;
    applyBeacon(beacon);
    t.is(beaconFields().deaths.length, 1);
    time.now = 3_500;
    t.is(beaconFields().deaths.length, 0);
});

// Without the parts and the stage, a log does not tell what requests at several deaths have in common.
test("quarantine: a death is logged with the prompt parts and the stage of each request at it", async t => {
    const lines: string[] = [];
    const { reportBrokenTry } = startQuarantine({
        clock: createClock(),
        hasDied: () => Promise.resolve(true),
        logger: pino({}, { write: line => void lines.push(line) }),
    });
    const prompt = { parts: [{ id: "aa", tokens: 1 }, { id: "own", tokens: 1 }] };
    const caller = { ...served.caller, id: "r1", prompt };
    await reportBrokenTry({ ...served, caller } as unknown as ServedRequest, endpoint("engine-1"), "waiting");
    await new Promise(resolve => setImmediate(resolve));
    const { id, stage, promptParts } = JSON.parse(lines[0] ?? "{}") as Readonly<Record<string, unknown>>;
    t.deepEqual({ id, stage, promptParts }, { id: "r1", stage: "waiting", promptParts: ["aa", "own"] });
});

type Self = Parameters<typeof isProber>[1];

const withParts = (id: string): ServedRequest => {
    const prompt = { model: "m", parts: [{ id: "crashing", tokens: 1 }, { id, tokens: 1 }] };
    return {
        ...served,
        service: "lm",
        body: Buffer.from(id),
        caller: { ...served.caller, prompt },
    } as unknown as ServedRequest;
};

// A second try at once kills a second engine for each request before the other VMs can say what they have seen.
test("quarantine: a request whose part another death accuses as well gets no second try", async t => {
    const { reportBrokenTry, admit } = startQuarantine({
        hasDied: () => Promise.resolve(true),
        schedule: (_, run) => setImmediate(run),
    });
    t.true(await reportBrokenTry(withParts("one"), endpoint("engine-1"), "begun"));
    t.false(await reportBrokenTry(withParts("two"), endpoint("engine-2"), "begun"));
    t.true(admit(withParts("three")));
    t.false(await reportBrokenTry(withParts("three"), endpoint("engine-3"), "begun"));
    t.false(admit(withParts("four")));
});

// Guards against callers of sound parts losing their further try because engines die beside them.
test("quarantine: a request whose part was answered lately gets its second try at once", async t => {
    const { reportBrokenTry, reportAnswered, admit } = startQuarantine({
        hasDied: () => Promise.resolve(true),
        schedule: () => t.fail("it waits"),
    });
    reportAnswered(withParts("zero"));
    for (const name of ["one", "two", "three"]) {
        t.true(await reportBrokenTry(withParts(name), endpoint(name), "begun"));
    }
    t.true(admit(withParts("four")));
});

// Probes of VMs that do not agree on one of them crash an engine each.
test("quarantine: all VMs choose the same one to probe a suspect", t => {
    const vms = ["a", "b", "c", "d"].map((vm, i) => ({ vm, failureDomain: `fd-${i % 2}` }) as unknown as Self);
    const probers = (key: string): readonly Self[] =>
        vms.filter(self => isProber(key as SuspectKey, self, vms.filter(other => other !== self)));
    Array.from({ length: 20 }, (_, i) => `key-${i}`).forEach(key => t.is(probers(key).length, 1));
});
