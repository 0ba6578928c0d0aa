import { EndpointName } from "@azureshunt/core";
import { fingerprintOf, noSuspects, recordBrokenTry, recordDeath } from "@azureshunt/request";
import type { SuspectState } from "@azureshunt/request";
import test from "ava";

import { refuseSuspect } from "../../suspects/refuseSuspect.js";

const REQUEST = fingerprintOf(["poison"]);
const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

const died = (state: SuspectState, id: string, at: number, complete: boolean): SuspectState =>
    recordDeath(state, { death: { id, endpoint: EndpointName.parse("engine"), at, running: [REQUEST] }, complete }, at)
        .state;

const once = died(noSuspects, "d1", 0, true);
const held = died(once, "d2", MINUTE_MS, false);

// A wrong Retry-After makes the caller of a held request retry every two seconds for ten minutes, or wait all of them.
[
    { name: "one death → not refused", state: once, at: 0, kind: undefined, retryAfterSeconds: undefined },
    {
        name: "a second try broke off → held",
        state: recordBrokenTry(once, REQUEST, "d2"),
        at: 0,
        kind: "request-quarantined",
        retryAfterSeconds: 2,
    },
    {
        name: "VMs are still queried → held, short Retry-After",
        state: held,
        at: MINUTE_MS,
        kind: "request-quarantined",
        retryAfterSeconds: 2,
    },
    {
        name: "VMs are no longer queried → held, Retry-After at the end of the hold",
        state: held,
        at: 2 * MINUTE_MS,
        kind: "request-quarantined",
        retryAfterSeconds: 480,
    },
    {
        name: "it is found to be the cause → quarantined",
        state: died(once, "d2", MINUTE_MS, true),
        at: MINUTE_MS,
        kind: "request-crashes-endpoints",
        retryAfterSeconds: undefined,
    },
].forEach(({ name, state, at, kind, retryAfterSeconds }) =>
    test(`refusals of suspects: ${name}`, t => {
        const refusal = refuseSuspect(state, REQUEST, at);
        const found: string | undefined = refusal?.kind;
        t.is(found, kind);
        t.is(refusal?.retryAfterSeconds, retryAfterSeconds);
    })
);
