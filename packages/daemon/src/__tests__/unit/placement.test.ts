import { setTimeout as sleep } from "node:timers/promises";

import { Incarnation, PieceHash, rendezvousOrder, RequestId, ServiceName, VmId } from "@azureshunt/core";
import { EndpointSpec } from "@azureshunt/release";
import test from "ava";
import type { ExecutionContext } from "ava";

import { createPlacementPort } from "../../placement/createPlacementPort.js";
import type { Call } from "../../ports/Call.js";
import type { Placement } from "../../ports/Placement.js";
import { fakeContext } from "../fakes/fakeContext.js";
import { startFakeEngine } from "../fakes/FakeEngine.js";
import { FakePeers } from "../fakes/FakePeers.js";
import { modelCall } from "../fakes/modelCall.js";

const DEADLINE_MS = 10_000;
const pieces = (...numbers: number[]) => numbers.map(n => PieceHash.parse(n.toString(16).padStart(32, "0")));

/** What several daemons of one test share, and the name of this one. */
type Shared = {
    readonly vm: string;
    readonly peers: FakePeers;
    readonly engines: readonly Awaited<ReturnType<typeof startFakeEngine>>[];
};

/** Starts two fake engines, unless they are shared, and a placement port that watches them. */
const setUp = async (t: ExecutionContext, shared?: Shared) => {
    const engines = shared?.engines ?? await Promise.all(["run-1", "run-2"].map(startFakeEngine));
    const { ctx, declare } = fakeContext(shared?.vm, shared?.peers);
    const placement = createPlacementPort(ctx);
    t.teardown(async () => {
        placement.stop();
        await Promise.all(engines.map(engine => engine.stop()));
    });
    const specs = engines.map((engine, i) =>
        EndpointSpec.parse({ name: `engine-${i + 1}`, kind: "model", failureDomain: "fd-1", url: engine.url })
    );
    declare(specs);
    const infoOf = (name: string) => placement.inspect().find(info => info.name === name);
    const call = (id: string, hashes: readonly PieceHash[], more: Partial<Call> = {}): Call => {
        const arrivedAt = ctx.clock.now();
        return modelCall(id, { pieces: hashes }, { arrivedAt, deadline: arrivedAt + DEADLINE_MS, ...more });
    };
    const place = async (one: Call) => (await placement.place(one, [])).unsafeCoerce();
    const until = async (holds: () => boolean): Promise<void> => {
        if (!holds()) {
            await sleep(5);
            await until(holds);
        }
    };
    const up = () =>
        until(() => placement.inspect().filter(info => info.health === "up" && !info.cacheDoubtful).length === 2);
    return { ctx, engines, declare, specs, placement, infoOf, call, place, until, up };
};
const matchedAt = (setup: Awaited<ReturnType<typeof setUp>>, id: string, endpoint: string) =>
    setup.placement.explain(RequestId.parse(id))?.at(-1)?.candidates.find(each => each.endpoint === endpoint)
        ?.matchedPieces;
/** Ends a request without a first token: a fake engine's comes at once and would show a speed that no engine has. */
const finish = (placement: Placement) => {
    placement.started(placement.incarnation, 0);
    placement.end("complete");
};

test("placement: a request is sent to the endpoint that caches its prefix", async t => {
    const setup = await setUp(t);
    await setup.up();
    setup.engines[1]!.publish({ seq: 1, kind: "stored", hashes: pieces(1, 2) });
    const probe = async (n: number): Promise<void> => {
        finish(await setup.place(setup.call(`warm-${n}`, pieces(1, 2))));
        if (matchedAt(setup, `warm-${n}`, "engine-2") !== 2) {
            await sleep(5);
            await probe(n + 1);
        }
    };
    await probe(0);
    t.is((await setup.place(setup.call("r", pieces(1, 2, 3)))).endpoint as string, "engine-2");
});

test("placement: late events of an engine's earlier incarnation are ignored", async t => {
    // If late events of an earlier incarnation counted, requests would be sent to the engine for a prefix that it has
    // lost.
    const setup = await setUp(t);
    await setup.up();
    const [engine] = setup.engines;
    engine!.view.cache = { seq: 1, hashes: pieces(1, 2) };
    engine!.publish({ seq: 1, kind: "stored", hashes: pieces(1, 2) });
    engine!.view.incarnation = "run-1b";
    engine!.view.cache = { seq: 0, hashes: [] };
    const first = await setup.placement.place(
        setup.call("sees-new-incarnation", pieces(9)),
        setup.specs.slice(1).map(s => s.name),
    );
    first.unsafeCoerce().started(Incarnation.parse("run-1b"), 0);
    first.unsafeCoerce().end("complete");
    await setup.until(() => setup.infoOf("engine-1")?.incarnation as string === "run-1b");
    const marker = pieces(77);
    engine!.view.incarnation = "run-1";
    engine!.publish({ seq: 1, kind: "stored", hashes: pieces(1, 2) });
    engine!.view.incarnation = "run-1b";
    engine!.publish({ seq: 2, kind: "stored", hashes: marker });
    const seesMarker = async (id: string): Promise<void> => {
        finish(await setup.place(setup.call(id, marker)));
        if (matchedAt(setup, id, "engine-1") !== 1) {
            await sleep(10);
            await seesMarker(`${id}.`);
        }
    };
    await seesMarker("marker");
    finish(await setup.place(setup.call("r", pieces(1, 2))));
    t.is(matchedAt(setup, "r", "engine-1"), 0);
});

test("placement: a leaving endpoint gets no new requests", async t => {
    const setup = await setUp(t);
    await setup.up();
    setup.declare(setup.specs.map((spec, i) => ({ ...spec, leaving: i === 0 })));
    await setup.until(() => setup.infoOf("engine-1")?.leaving === true);
    const chosen = await Array.from({ length: 20 }, (_, n) => n).reduce(async (before, n) => {
        const others = await before;
        const placed = await setup.place(setup.call(`r${n}`, pieces(n)));
        finish(placed);
        return [...others, placed.endpoint as string];
    }, Promise.resolve<string[]>([]));
    t.deepEqual([...new Set(chosen)], ["engine-2"]);
});

test("placement: an engine that died during a request gets requests again once it answers", async t => {
    const setup = await setUp(t);
    await setup.up();
    setup.declare(setup.specs.slice(0, 1));
    await setup.until(() => setup.placement.inspect().length === 1);
    const placed = await setup.place(setup.call("r1", pieces(1)));
    setup.engines[0]!.view.answers = false;
    placed.end("died");
    const refused = await setup.placement.place(setup.call("r2", pieces(1)), []);
    t.is(refused.swap().unsafeCoerce().kind, "no-endpoint");
    t.is(refused.swap().unsafeCoerce().ran, "no");
    setup.engines[0]!.view.answers = true;
    await setup.until(() => setup.infoOf("engine-1")?.health === "up");
    t.is((await setup.place(setup.call("r3", pieces(1)))).endpoint as string, "engine-1");
});

test("placement: a request for pieces that are being computed waits for them", async t => {
    // If two requests with the same new prompt are sent at once, the engine computes its pieces twice.
    const setup = await setUp(t);
    await setup.up();
    const short = (id: string): Call => {
        const call = setup.call(id, pieces(1, 2));
        // So little to compute that the engine's queue alone would not delay the second request.
        const target = { ...call.target, pieceTokens: 100, promptTokens: 300 } as Call["target"];
        return { ...call, target };
    };
    const first = await setup.place(short("first"));
    const second = { placed: false };
    const waiting = setup.place(short("second")).then(placed => {
        second.placed = true;
        return placed;
    });
    await sleep(30);
    t.false(second.placed);
    first.started(first.incarnation, 0);
    first.firstToken();
    t.is((await waiting).endpoint, first.endpoint);
});

test("placement: a request that cannot start by its deadline is refused at once", async t => {
    const setup = await setUp(t);
    await setup.up();
    setup.engines.forEach(engine => {
        engine.view.load = { running: 4, waiting: 4, waitingTokens: 1_000_000 };
    });
    await setup.until(() => setup.placement.inspect().every(info => info.load.prefillTokens > 900_000));
    const refused = await setup.placement.place(
        setup.call("r", pieces(1), { deadline: setup.ctx.clock.now() + 1_000 }),
        [],
    );
    const refusal = refused.swap().unsafeCoerce();
    t.is(refusal.kind, "overloaded");
    t.is(refusal.ran, "no");
    t.true(refusal.retryAfterSeconds! > 1);
});

test("placement: a waiting request whose caller is gone is dropped", async t => {
    const setup = await setUp(t);
    await setup.up();
    const caller = new AbortController();
    const first = await setup.place(setup.call("first", pieces(1)));
    const waiting = setup.placement.place(setup.call("second", pieces(1), { signal: caller.signal }), []);
    caller.abort();
    t.is((await waiting).swap().unsafeCoerce().kind, "caller-gone");
    finish(first);
});

test("placement: a call to a service goes to a replica that answers", async t => {
    const setup = await setUp(t);
    const services = setup.engines.map((engine, i) =>
        EndpointSpec.parse({
            name: `booking-${i + 1}`,
            kind: "service",
            service: "booking",
            failureDomain: "fd-1",
            url: engine.url,
        })
    );
    setup.engines[0]!.view.answers = false;
    setup.declare(services);
    await setup.until(() => setup.infoOf("booking-2")?.health === "up");
    const target: Call["target"] = {
        kind: "service",
        service: ServiceName.parse("booking"),
        method: "POST",
        path: "/book",
        repeatable: false,
        idempotencyKey: undefined,
        contentType: undefined,
        body: new Uint8Array(),
    };
    t.is((await setup.place(setup.call("r", [], { target }))).endpoint as string, "booking-2");
});

test("placement: daemons count what others have just dispatched, before an engine reports it", async t => {
    // Otherwise two daemons choose the same idle engine at once. The computation must not end during the test.
    const prompt = pieces(...Array.from({ length: 20 }, (_, n) => n + 1));
    const peers = new FakePeers();
    const engines = await Promise.all(["run-1", "run-2"].map(startFakeEngine));
    const [one, other] = [
        await setUp(t, { vm: "vm-1", peers, engines }),
        await setUp(t, { vm: "vm-2", peers, engines }),
    ];
    await Promise.all([one.up(), other.up()]);
    const first = await one.place(one.call("first", prompt));
    const isCounted = () => (other.infoOf(first.endpoint)?.load.prefillTokens ?? 0) > 0;
    await other.until(isCounted);
    t.not((await other.place(other.call("second", pieces(30, 31)))).endpoint, first.endpoint);
    const third = other.call("third", prompt);
    const isPlaced = { is: false };
    const waiting = other.place(third).then(placed => {
        isPlaced.is = true;
        return placed;
    });
    await sleep(30);
    t.false(isPlaced.is, "the pieces are being computed for the other daemon");
    first.started(first.incarnation, 0);
    engines.forEach(engine => engine.publish({ seq: 1, kind: "stored", hashes: [...prompt] }));
    t.is((await waiting).endpoint, first.endpoint);
});

/** Two heartbeats of the sharing of engine updates, and the time to close a connection. */
const SETTLED_MS = 700;

test("placement: one daemon follows an engine for its failure domain, and another takes over when it dies", async t => {
    // If the VM that sends an engine's events dies, the others would rely on prefixes that the engine has evicted.
    const peers = new FakePeers();
    const engines = await Promise.all(["run-1", "run-2"].map(startFakeEngine));
    const shared = ["vm-1", "vm-2"].map(vm => ({ vm, peers, engines }));
    shared.forEach(({ vm }) => peers.portOf(VmId.parse(vm)));
    const daemons = [await setUp(t, shared[0]), await setUp(t, shared[1])];
    await Promise.all(daemons.map(daemon => daemon.up()));
    const [engine] = engines;
    await daemons[0]!.until(() => engine!.followers() === 1);
    const holds = async (daemon: typeof daemons[number], id: string, hashes: readonly PieceHash[]): Promise<void> => {
        finish(await daemon.place(daemon.call(id, hashes)));
        if (matchedAt(daemon, id, "engine-1") !== hashes.length) {
            await sleep(10);
            await holds(daemon, `${id}.`, hashes);
        }
    };
    engine!.publish({ seq: 1, kind: "stored", hashes: pieces(1) });
    await Promise.all(daemons.map(daemon => holds(daemon, "before", pieces(1))));
    // Until each has received the other's first heartbeat both follow it; from then on exactly one does.
    await sleep(SETTLED_MS);
    t.is(engine!.followers(), 1);
    const first = rendezvousOrder("engine-1", ["vm-1", "vm-2"])[0] === "vm-1" ? 0 : 1;
    daemons[first]!.placement.stop();
    await daemons[0]!.until(() => engine!.followers() === 0);
    await daemons[0]!.until(() => engine!.followers() === 1);
    engine!.publish({ seq: 2, kind: "stored", hashes: pieces(2) });
    await holds(daemons[1 - first]!, "after", pieces(1, 2));
    t.pass();
});
