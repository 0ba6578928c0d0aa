import { refusalOf } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { DispatchParts } from "../../dispatch/DispatchParts.js";
import { placeTry } from "../../dispatch/placeTry.js";
import type { Call } from "../../ports/Call.js";
import type { Placement } from "../../ports/Placement.js";

/** Creates a placement that waits until the test grants an endpoint, or until the call's signal is aborted. */
const createWaitingPlacement = () => {
    const keys = { valid: true };
    const listeners = new Set<() => void>();
    const ended: string[] = [];
    const wait: { grant: () => void; } = { grant: () => undefined };
    const placement: Partial<Placement> = { end: outcome => void ended.push(outcome) };
    const parts = {
        ctx: {
            release: {
                subscribe: (listener: () => void) => {
                    listeners.add(listener);
                    return () => listeners.delete(listener);
                },
            },
        },
        suspects: { check: (call: Call) => Right(call) },
        recheck: (call: Call) => keys.valid ? Right(call) : Left(refusalOf("withdrawn-key")),
        placement: {
            place: (call: Call) =>
                new Promise(resolve => {
                    wait.grant = () => resolve(Right(placement));
                    call.signal.addEventListener("abort", () => resolve(Left(refusalOf("caller-gone"))));
                }),
        },
    } as unknown as DispatchParts;
    const withdraw = (): void => {
        keys.valid = false;
    };
    const notify = (): void => listeners.forEach(listener => listener());
    return { parts, withdraw, notify, ended, grant: () => wait.grant(), listeners };
};

type WaitingPlacement = ReturnType<typeof createWaitingPlacement>;

const call = { signal: new AbortController().signal } as Call;

// A request whose key is withdrawn while it waits for an endpoint must not be sent.
[
    {
        name: "key valid throughout",
        during: (waiting: WaitingPlacement) => waiting.grant(),
        refused: undefined,
        ended: [],
    },
    {
        name: "key withdrawn during the wait: the wait ends",
        during: (waiting: WaitingPlacement) => {
            waiting.withdraw();
            waiting.notify();
        },
        refused: "withdrawn-key",
        ended: [],
    },
    {
        name: "key withdrawn right before the grant: the endpoint is released",
        during: (waiting: WaitingPlacement) => {
            waiting.withdraw();
            waiting.grant();
        },
        refused: "withdrawn-key",
        ended: ["cancelled"],
    },
].forEach(({ name, during, refused, ended }) =>
    test(`placing a try: ${name}`, async t => {
        const waiting = createWaitingPlacement();
        const placing = placeTry(waiting.parts, call, []);
        during(waiting);
        const placed = await placing;
        const failure = placed.caseOf({ Left: end => end, Right: () => undefined });
        t.is(failure !== undefined && "refusal" in failure ? failure.refusal.kind : undefined, refused as undefined);
        t.deepEqual(waiting.ended, ended);
        t.is(waiting.listeners.size, 0, "no listener stays subscribed");
    })
);

test("placing a try: key withdrawn before: no endpoint is requested", async t => {
    const waiting = createWaitingPlacement();
    waiting.withdraw();
    const placed = await placeTry(waiting.parts, call, []);
    t.is(placed.caseOf({ Left: ({ kind }) => kind, Right: () => undefined }), "stopped");
});
