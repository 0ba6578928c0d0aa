import { get } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
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
const BUSY_FROM_MS = 30;
const BUSY_MS = 1_200;

/** A home on a thread of its own, so that it answers while this one is busy. */
const HOME_PROGRAM = `
    const { createServer } = require("node:http");
    const { parentPort } = require("node:worker_threads");
    createServer((_req, res) => setTimeout(() => res.end("granted"), ${ANSWER_MS}))
        .listen(0, "127.0.0.1", function () { parentPort.postMessage(this.address().port); });
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

// A VM that was busy refuses a request for its home's silence, though the home's answer has come meanwhile.
test("allowances: an answer that has arrived counts before the time for it is over", async t => {
    const worker = new Worker(HOME_PROGRAM, { eval: true });
    t.teardown(() => worker.terminate());
    const port = await new Promise<number>(resolve => worker.once("message", resolve));
    const { ctx } = fakeContext("vm-1", new FakePeers());
    const home = { ...ctx.membership.self, vm: HOME, failureDomain: DOMAIN };
    const store = createAllowanceStore(
        {
            ...ctx,
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
            res.resume().once("end", () => store.tell(entry, { kind: "answer", from: HOME, answer }));
        });
        // Asks that are under way at the end go with the home.
        req.on("error", () => undefined);
    };
    const entry = store.open(ORGANISATION)!;
    const decided = new Promise<string>(resolve =>
        entry.waiting.set(
            1,
            decision => resolve(decision.caseOf({ Left: ({ kind }) => kind, Right: () => "admitted" })),
        )
    );
    store.tell(entry, { kind: "reserve", id: 1, tokens: NEED, deadline: Infinity });
    await sleep(BUSY_FROM_MS);
    // From here timers come before what has arrived.
    await new Promise(resolve => setImmediate(resolve));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BUSY_MS);
    t.is(await decided, "admitted");
});
