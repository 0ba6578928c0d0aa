import { refusalOf } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { DispatchParts } from "../../dispatch/DispatchParts.js";
import { placeTry } from "../../dispatch/placeTry.js";
import type { Call } from "../../ports/Call.js";
import type { Placement } from "../../ports/Placement.js";

/** A wait for an endpoint that the test ends; it gives up when the call's signal says so. */
const createWorld = () => {
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
    const announce = (): void => listeners.forEach(listener => listener());
    return { parts, withdraw, announce, ended, grant: () => wait.grant(), listeners };
};

type World = ReturnType<typeof createWorld>;

const call = { signal: new AbortController().signal } as Call;

// A key is withdrawn while its request waits for an endpoint, and the request is sent out all the same.
[
    { name: "valid throughout", during: (world: World) => world.grant(), refused: undefined, ended: [] },
    {
        name: "withdrawn while it waits: it waits no longer",
        during: (world: World) => {
            world.withdraw();
            world.announce();
        },
        refused: "withdrawn-key",
        ended: [],
    },
    {
        name: "withdrawn right before the grant: the endpoint is given back",
        during: (world: World) => {
            world.withdraw();
            world.grant();
        },
        refused: "withdrawn-key",
        ended: ["cancelled"],
    },
].forEach(({ name, during, refused, ended }) =>
    test(`placing a try: ${name}`, async t => {
        const world = createWorld();
        const placing = placeTry(world.parts, call, []);
        during(world);
        const placed = await placing;
        const failure = placed.caseOf({ Left: end => end, Right: () => undefined });
        t.is(failure !== undefined && "refusal" in failure ? failure.refusal.kind : undefined, refused as undefined);
        t.deepEqual(world.ended, ended);
        t.is(world.listeners.size, 0, "nothing is left subscribed");
    })
);

test("placing a try: a key withdrawn before asks for no endpoint", async t => {
    const world = createWorld();
    world.withdraw();
    const placed = await placeTry(world.parts, call, []);
    t.is(placed.caseOf({ Left: ({ kind }) => kind, Right: () => undefined }), "stopped");
});
