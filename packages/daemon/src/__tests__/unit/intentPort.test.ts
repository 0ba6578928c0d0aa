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
type Daemons = ReturnType<typeof createDaemons>;

const ANSWER = { status: 200, contentType: "application/json", body: "e30=" };

/** Creates daemons that share a log and reach one another by name. */
function createDaemons() {
    const log = createFakeLog();
    const handlers = new Map<string, Handler>();
    const unreachable = new Set<string>();
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
    const boot = (name: string, suffix = "1") => {
        const vm = VmId.parse(name);
        const ctx = {
            settings: { vm },
            incarnation: Incarnation.parse(`${name}-${suffix}`),
            system: start(`test-${name}-${suffix}-${Math.random()}`),
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
                    return unreachable.has(to) || answer === undefined
                        ? Left(new Error("cut"))
                        : Right(await answer(body, vm));
                },
            },
        } as unknown as DaemonContext;
        return createIntentPort(ctx);
    };
    return { log, unreachable, clock, boot };
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

type Port = ReturnType<Daemons["boot"]>;
type Dispatching = Extract<IntentAdmission, { readonly kind: "dispatch"; }>;

const admit = async (port: Port, key = "b1", body?: string): Promise<string> =>
    (await port.admit(callOf(key, body))).caseOf({
        Left: refusal => `${refusal.kind} ran=${refusal.ran}`,
        Right: ({ kind }) => kind,
    });
const admitToDispatch = async (port: Port): Promise<Dispatching> =>
    (await port.admit(callOf("b1"))).unsafeCoerce() as Dispatching;

// When daemons die or the log fails, a call that may not be repeated could run twice, or its caller could get a wrong
// result.
const cases: readonly {
    readonly name: string;
    readonly run: (daemons: Daemons) => Promise<readonly string[]>;
    readonly expected: readonly string[];
}[] = [
    {
        name: "three daemons admit a key at once: one dispatches",
        run: async ({ boot }) => {
            const all = await Promise.all(["vm1", "vm2", "vm3"].map(name => admit(boot(name))));
            return [...all].sort();
        },
        expected: ["dispatch", "intent-running ran=maybe", "intent-running ran=maybe"],
    },
    {
        name: "a repetition at another daemon gets the recorded answer",
        run: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            first.begin();
            await first.complete(ANSWER);
            return [await admit(boot("vm2"))];
        },
        expected: ["recorded"],
    },
    {
        name: "the log is unreachable when the request ends: the owner replies with the outcome",
        run: async ({ boot, log }) => {
            const [vm1, vm2] = [boot("vm1"), boot("vm2")];
            const first = await admitToDispatch(vm1);
            first.begin();
            log.failNext("unreachable");
            await first.complete(ANSWER);
            return [await admit(vm2)];
        },
        expected: ["recorded"],
    },
    {
        name: "another body under the same key: refused",
        run: async ({ boot }) => {
            const vm1 = boot("vm1");
            await admit(vm1);
            return [await admit(vm1, "b1", "other"), await admit(boot("vm2"), "b1", "other")];
        },
        expected: ["intent-key-reused ran=no", "intent-key-reused ran=no"],
    },
    {
        name: "the owner withdraws: another daemon dispatches, and the owner may not begin",
        run: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            await first.withdraw();
            return [await admit(boot("vm2")), String(first.begin())];
        },
        expected: ["dispatch", "false"],
    },
    {
        name: "the owner has begun: it can't withdraw",
        run: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            const begun = first.begin();
            await first.withdraw();
            return [String(begun), await admit(boot("vm2"))];
        },
        expected: ["true", "intent-running ran=maybe"],
    },
    {
        name: "the owner can't be reached: no other daemon dispatches",
        run: async ({ boot, unreachable }) => {
            await admit(boot("vm1"));
            unreachable.add("vm1");
            return [await admit(boot("vm2"))];
        },
        expected: ["intent-running ran=maybe"],
    },
    {
        name: "the owner restarted between intent and dispatch: the outcome is unknown",
        run: async ({ boot }) => {
            const first = boot("vm1");
            await admit(first);
            first.stop();
            return [await admit(boot("vm1", "2")), await admit(boot("vm2"))];
        },
        expected: ["intent-outcome-unknown ran=maybe", "intent-outcome-unknown ran=maybe"],
    },
    {
        name: "the owner is suspended for too long before it sends: it may not begin",
        run: async ({ boot, clock }) => {
            const first = await admitToDispatch(boot("vm1"));
            clock.ms = INTENT_LIMITS.maxBeginDelayMs;
            return [String(first.begin())];
        },
        expected: ["false"],
    },
    {
        name: "the answer to the append is lost: the intent is read back and dispatched",
        run: async ({ boot, log }) => {
            log.failNext("lost");
            return [await admit(boot("vm1")), await admit(boot("vm2"))];
        },
        expected: ["dispatch", "intent-running ran=maybe"],
    },
    {
        name: "the append fails: refused, and the key stays free",
        run: async ({ boot, log }) => {
            log.failNext("unreachable");
            return [await admit(boot("vm1")), await admit(boot("vm2"))];
        },
        expected: ["log-unavailable ran=no", "dispatch"],
    },
    {
        name: "the log is unreachable: refused",
        run: async ({ boot, log }) => {
            log.setDown(true);
            return [await admit(boot("vm1"))];
        },
        expected: ["log-unavailable ran=no"],
    },
    {
        name: "the outcome is lost: no daemon runs the request again",
        run: async ({ boot }) => {
            const first = await admitToDispatch(boot("vm1"));
            first.begin();
            await first.complete(undefined);
            return [await admit(boot("vm2"))];
        },
        expected: ["intent-outcome-unknown ran=maybe"],
    },
];

cases.forEach(({ name, run, expected }) =>
    test(`intent port: ${name}`, async t => {
        t.deepEqual(await run(createDaemons()), expected);
    })
);
