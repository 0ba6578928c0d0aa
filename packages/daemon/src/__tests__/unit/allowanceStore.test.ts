import { once } from "node:events";
import { get } from "node:http";
import { Worker } from "node:worker_threads";

import type { GrantAnswer } from "@azureshunt/allowance";
import { EndpointName, FailureDomain, Incarnation, OrganisationId, VmId } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import test from "ava";

import type { AllowanceMessage } from "../../allowance/AllowanceMessage.js";
import { createAllowanceStore } from "../../allowance/createAllowanceStore.js";
import type { HomePort } from "../../membership/HomePort.js";
import { fakeContext } from "../fakes/fakeContext.js";
import { FakePeers } from "../fakes/FakePeers.js";

const ORGANISATION = OrganisationId.parse("hut");
const DOMAIN = FailureDomain.parse("fd-1");
const HOME = VmId.parse("home");
const NEED = 100;
const ANSWER_MS = 60;
/** After the time that a request waits for an answer, and before the grant in the answer expires. */
const LATE_MS = 1_000;
const MAX_WAIT_MS = 30_000;

/**
 * A home on its own thread, so that it answers while this one is busy; it signals that it was asked and has answered.
 */
const HOME_PROGRAM = `
    const { createServer } = require("node:http");
    const { parentPort, workerData } = require("node:worker_threads");
    const answered = () => {
        Atomics.store(workerData, 0, 1);
        Atomics.notify(workerData, 0);
    };
    createServer((_req, res) => {
        parentPort.postMessage("asked");
        setTimeout(() => res.end("granted", answered), ${ANSWER_MS});
    }).listen(0, "127.0.0.1", function () { parentPort.postMessage(this.address().port); });
`;

const configuration = {
    organisations: new Map([[ORGANISATION, { rate: 10_000, burst: 20_000 }]]),
    endpoints: new Map([[EndpointName.parse("engine"), { failureDomain: DOMAIN }]]),
} as unknown as Configuration;

const grant = (seq: number): GrantAnswer => ({
    seq,
    run: Incarnation.parse("home-run"),
    extended: true,
    granted: NEED,
    slot: 0,
    free: NEED,
    rate: 10_000,
    elsewhere: 0,
    unmet: 0,
});

// A VM that was busy must not refuse a request because its home is silent if the home's answer has arrived meanwhile.
test("allowances: an answer that has arrived is applied before its timeout", async t => {
    const answered = new Int32Array(new SharedArrayBuffer(4));
    const time = { now: 0 };
    const worker = new Worker(HOME_PROGRAM, { eval: true, workerData: answered });
    t.teardown(() => worker.terminate());
    const port = await new Promise<number>(resolve => worker.once("message", resolve));
    const { ctx } = fakeContext("vm-1", new FakePeers());
    const home = { ...ctx.membership.self, vm: HOME, failureDomain: DOMAIN };
    const store = createAllowanceStore(
        {
            ...ctx,
            clock: { ...ctx.clock, now: () => time.now },
            release: { ...ctx.release, current: () => configuration },
            membership: { ...ctx.membership, members: () => [home] },
        },
        { membership: () => ({ members: new Map(), awaiting: [], departures: [], self: home }) } as unknown as HomePort,
        message => ask(message),
    );
    t.teardown(store.clear);
    const ask = (message: AllowanceMessage): void => {
        if (message.kind !== "ask") {
            return;
        }
        const answer = grant(message.ask.seq);
        const req = get({ port, host: "127.0.0.1", agent: false }, res => {
            res.resume().once("end", () => store.apply(entry, { kind: "answer", from: HOME, answer }));
        });
        // Asks that are in flight at the end of the test fail when the home stops.
        req.on("error", () => undefined);
    };
    const entry = store.open(ORGANISATION)!;
    const decided = new Promise<string>(resolve =>
        entry.waiting.set(
            1,
            decision => resolve(decision.caseOf({ Left: ({ kind }) => kind, Right: () => "admitted" })),
        )
    );
    const asked = once(worker, "message");
    store.apply(entry, { kind: "reserve", id: 1, tokens: NEED, deadline: Infinity });
    await asked;
    // From here on, timers run before messages that have arrived.
    await new Promise(resolve => setImmediate(resolve));
    setTimeout(store.tick, 1);
    Atomics.wait(answered, 0, 0, MAX_WAIT_MS);
    time.now = LATE_MS;
    t.is(await decided, "admitted");
});
