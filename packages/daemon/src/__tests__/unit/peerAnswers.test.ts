import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

import { EndpointName, Incarnation, VmId } from "@azureshunt/core";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import type { handleUnaryCall } from "@grpc/grpc-js";
import test from "ava";
import { pino } from "pino";

import { createPeerPort } from "../../peers/createPeerPort.js";
import { loadPeerSchema } from "../../peers/loadPeerSchema.js";
import { gatherDeath } from "../../suspects/gatherDeath.js";
import { learnQuarantines } from "../../suspects/learnQuarantines.js";
import type { SuspectAggregate } from "../../suspects/SuspectAggregate.js";
import { fakeContext } from "../fakes/fakeContext.js";
import { FakePeers } from "../fakes/FakePeers.js";

const OTHER = VmId.parse("vm-2");
const LOOPBACK = "127.0.0.1:0";
const identity = (bytes: Buffer): Buffer => bytes;

const openPort = (own: string, other: string): ReturnType<typeof createPeerPort> => {
    const { settings } = fakeContext().ctx;
    return createPeerPort({
        settings: { ...settings, vm: OTHER, listen: { ...settings.listen, peer: own } },
        incarnation: Incarnation.parse("run-1"),
        claim: (_address, bind) => bind(),
        logger: pino({ level: "silent" }),
        peers: () => [{ vm: OTHER, failureDomain: settings.failureDomain, address: other }],
    });
};

const freeAddress = async (): Promise<string> => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return `127.0.0.1:${port}`;
};

// Guards against an answer that cannot be encoded ending the process, with no answer to the peer.
test("peer answers: one that cannot be encoded is an error to the peer that asks", async t => {
    const address = await freeAddress();
    const port = await openPort(address, address);
    t.teardown(port.stop);
    port.handle("endpointDeath", () => Promise.resolve({ running: 5 }));
    const answer = await port.exchange(OTHER, "endpointDeath", {}, 5_000);
    t.regex(String(answer.swap().extract()), /INTERNAL/);
});

// Guards against an answer that cannot be decoded ending the process: most exchanges are awaited by nobody.
test("peer answers: bytes that are no message count as no answer", async t => {
    const server = new Server();
    const exchange: handleUnaryCall<Buffer, Buffer> = (_call, done) => done(null, Buffer.alloc(8, 0xff));
    const { path } = loadPeerSchema();
    const method = {
        path,
        requestStream: false,
        responseStream: false,
        requestSerialize: identity,
        requestDeserialize: identity,
        responseSerialize: identity,
        responseDeserialize: identity,
    } as const;
    server.addService({ exchange: method }, { exchange });
    const port = await new Promise<number>((resolve, reject) =>
        server.bindAsync(
            LOOPBACK,
            ServerCredentials.createInsecure(),
            (err, bound) => err === null ? resolve(bound) : reject(err),
        )
    );
    const peers = await openPort(LOOPBACK, `127.0.0.1:${port}`);
    t.teardown(() => {
        peers.stop();
        server.forceShutdown();
    });
    t.true((await peers.exchange(OTHER, "gossip", {}, 5_000)).isLeft());
});

const answeringNonsense = () => {
    const peers = new FakePeers();
    const asked: string[] = [];
    const other = peers.portOf(OTHER);
    ["endpointDeath", "quarantine"].forEach(kind =>
        other.handle(kind, () => {
            asked.push(kind);
            return Promise.resolve({ running: "nonsense", requests: "nonsense" });
        })
    );
    return { ctx: fakeContext("vm-1", peers).ctx, asked };
};

// Guards against a peer of another version ending the process by an answer of a shape that this one does not know.
test("peer answers: a VM whose answer about a death has an unknown shape counts as silent", async t => {
    const { ctx } = answeringNonsense();
    const query = { id: "death-1", endpoint: EndpointName.parse("engine-1"), vms: [OTHER], timeoutMs: 100 };
    t.deepEqual(await gatherDeath(ctx, query), { running: [], silent: [OTHER] });
});

test("peer answers: an answer about quarantines that has an unknown shape teaches nothing", async t => {
    const { ctx, asked } = answeringNonsense();
    const unhandled: unknown[] = [];
    const onUnhandled = (err: unknown): void => void unhandled.push(err);
    process.on("unhandledRejection", onUnhandled);
    const stop = learnQuarantines(ctx, {} as SuspectAggregate);
    t.teardown(() => {
        stop();
        process.off("unhandledRejection", onUnhandled);
    });
    await sleep(100);
    t.deepEqual(asked, ["quarantine"]);
    t.deepEqual(unhandled, []);
});
