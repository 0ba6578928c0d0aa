import { FailureDomain, Incarnation, KeyId, OrganisationId, RequestId, ServiceName, VmId } from "@azureshunt/core";
import { INTENT_LIMITS } from "@azureshunt/intent";
import test from "ava";
import { start } from "nact";
import { pino } from "pino";
import { Left, Right } from "purify-ts";

import { createIntentPort } from "../../intent/createIntentPort.js";
import type { Call } from "../../ports/Call.js";
import type { DaemonContext } from "../../ports/DaemonContext.js";
import type { IntentAdmission } from "../../ports/IntentAdmission.js";
import type { PeerPort } from "../../ports/PeerPort.js";
import { createFakeLog } from "../support/createFakeLog.js";

type Handler = Parameters<PeerPort["handle"]>[1];
type Fleet = ReturnType<typeof createFleet>;

const ANSWER = { status: 200, contentType: "application/json", body: "e30=" };

/** Daemons that share a log and reach one another by name. */
function createFleet() {
    const log = createFakeLog();
    const handlers = new Map<string, Handler>();
    const cut = new Set<string>();
    const clock = { ms: 0 };
    const vms = ["vm1", "vm2", "vm3"].map(name => VmId.parse(name));
    const members = vms.map(vm => ({
        vm,
        failureDomain: FailureDomain.parse("fd"),
        state: "live" as const,
        peer: "",
        admin: "",
        incarnation: undefined,
    }));
    const boot = (name: string, run = "1") => {
        const vm = VmId.parse(name);
        const ctx = {
            settings: { vm },
            incarnation: Incarnation.parse(`${name}-${run}`),
            system: start(`test-${name}-${run}-${Math.random()}`),
            clock: { now: () => clock.ms, epoch: () => 0 },
            logger: () => pino({ level: "silent" }),
            metrics: { count: () => undefined, gauge: () => () => undefined },
            membership: { members: () => members },
            log,
            peers: {
                handle: (_kind: string, answer: Handler) => {
                    handlers.set(name, answer);
                    return () => handlers.delete(name);
                },
                exchange: async (to: string, _kind: string, body: object) => {
                    const answer = handlers.get(to);
                    return cut.has(to) || answer === undefined ? Left(new Error("cut")) : Right(await answer(body, vm));
                },
            },
        } as unknown as DaemonContext;
        return createIntentPort(ctx);
    };
    return { log, cut, clock, boot };
}

const callOf = (key: string, body = "hold"): Call => ({
    id: RequestId.parse("r"),
    organisation: OrganisationId.parse("alb"),
    keyId: KeyId.parse("k"),
    arrivedAt: 0,
    deadline: 10_000,
    priority: 5,
    target: {
        kind: "service",
        service: ServiceName.parse("booking"),
        method: "POST",
        path: "/holds",
        repeatable: false,
        idempotencyKey: key,
        contentType: "text/plain",
        body: Buffer.from(body),
    },
    signal: new AbortController().signal,
});

type Port = ReturnType<Fleet["boot"]>;
type Dispatching = Extract<IntentAdmission, { readonly kind: "dispatch"; }>;

const admit = async (port: Port, key = "b1", body?: string): Promise<string> =>
    (await port.admit(callOf(key, body))).caseOf({
        Left: refused => `${refused.kind} ran=${refused.ran}`,
        Right: ({ kind }) => kind,
    });
const admitToDispatch = async (port: Port): Promise<Dispatching> =>
    (await port.admit(callOf("b1"))).unsafeCoerce() as Dispatching;

// A call that may not be repeated runs twice, or its caller is told what is not true, as daemons die and the log fails.
const cases: readonly {
    readonly name: string;
    readonly play: (fleet: Fleet) => Promise<readonly string[]>;
    readonly told: readonly string[];
}[] = [
    {
        name: "three daemons at once: one dispatches",
        play: async ({ boot }) => {
            const all = await Promise.all(["vm1", "vm2", "vm3"].map(name => admit(boot(name))));
            return [...all].sort();
        },
        told: ["dispatch", "intent-running ran=maybe", "intent-running ran=maybe"],
    },
    {
        name: "a repetition elsewhere gets the recorded answer",
        play: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            first.begin();
            await first.complete(ANSWER);
            return [await admit(boot("vm2"))];
        },
        told: ["recorded"],
    },
    {
        name: "the log is down when the request ends: the owner answers for it",
        play: async ({ boot, log }) => {
            const [vm1, vm2] = [boot("vm1"), boot("vm2")];
            const first = await admitToDispatch(vm1);
            first.begin();
            log.failNext("unreachable");
            await first.complete(ANSWER);
            return [await admit(vm2)];
        },
        told: ["recorded"],
    },
    {
        name: "another body under the same key",
        play: async ({ boot }) => {
            const vm1 = boot("vm1");
            await admit(vm1);
            return [await admit(vm1, "b1", "other"), await admit(boot("vm2"), "b1", "other")];
        },
        told: ["intent-key-reused ran=no", "intent-key-reused ran=no"],
    },
    {
        name: "the owner withdraws: the next one dispatches, and the owner no more",
        play: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            await first.withdraw();
            return [await admit(boot("vm2")), String(first.begin())];
        },
        told: ["dispatch", "false"],
    },
    {
        name: "the owner has begun: it can't withdraw",
        play: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            const begun = first.begin();
            await first.withdraw();
            return [String(begun), await admit(boot("vm2"))];
        },
        told: ["true", "intent-running ran=maybe"],
    },
    {
        name: "the owner can't be reached: nobody else dispatches",
        play: async ({ boot, cut }) => {
            await admit(boot("vm1"));
            cut.add("vm1");
            return [await admit(boot("vm2"))];
        },
        told: ["intent-running ran=maybe"],
    },
    {
        name: "the owner died between intent and dispatch and is back",
        play: async ({ boot }) => {
            const first = boot("vm1");
            await admit(first);
            first.stop();
            return [await admit(boot("vm1", "2")), await admit(boot("vm2"))];
        },
        told: ["intent-outcome-unknown ran=maybe", "intent-outcome-unknown ran=maybe"],
    },
    {
        name: "the owner is paused for long before it sends",
        play: async ({ boot, clock }) => {
            const first = await admitToDispatch(boot("vm1"));
            clock.ms = INTENT_LIMITS.beginMs;
            return [String(first.begin())];
        },
        told: ["false"],
    },
    {
        name: "the log takes the intent and loses the answer",
        play: async ({ boot, log }) => {
            log.failNext("lost");
            return [await admit(boot("vm1")), await admit(boot("vm2"))];
        },
        told: ["dispatch", "intent-running ran=maybe"],
    },
    {
        name: "the log refuses the intent",
        play: async ({ boot, log }) => {
            log.failNext("unreachable");
            return [await admit(boot("vm1")), await admit(boot("vm2"))];
        },
        told: ["log-unavailable ran=no", "dispatch"],
    },
    {
        name: "the log is down",
        play: async ({ boot, log }) => {
            log.setDown(true);
            return [await admit(boot("vm1"))];
        },
        told: ["log-unavailable ran=no"],
    },
    {
        name: "the outcome is lost: nobody runs it again",
        play: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            first.begin();
            await first.complete(undefined);
            return [await admit(boot("vm2"))];
        },
        told: ["intent-outcome-unknown ran=maybe"],
    },
];

cases.forEach(({ name, play, told }) =>
    test(`intent port: ${name}`, async t => {
        t.deepEqual(await play(createFleet()), told);
    })
);
