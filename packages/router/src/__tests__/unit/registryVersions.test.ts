import type { EndpointName, FailureDomain, ModelName } from "@azureshunt/core";
import { createLoggers, createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import type { ExecutionContext } from "ava";
import { Right } from "purify-ts";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import type { ReceivedBeacon } from "../../peers/ReceivedBeacon.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import type { DirectoryWire } from "../../ports/DirectoryWire.js";
import type { StorePort } from "../../ports/StorePort.js";
import { startRegistry } from "../../registry/startRegistry.js";
import type { TopicAnswer } from "../../store/TopicAnswer.js";
import { entryOf } from "../support/entryOf.js";

const model = "m" as ModelName;
const engine = "e" as EndpointName;
/**
 * The clock of the test goes on by so much with each round of beacons, some twenty times as fast as the timers, so that entries lag
 * behind for a fifth of a second. A moment in which the process does not run ages nothing.
 */
const STEP_MS = 100;
const time = { now: 1_000_000 };
const clock = { now: () => time.now, epoch: () => Date.now() };
/** Many times as long as entries and versions may be unconfirmed. */
const SPELL_MS = 12_000;

const waitUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) {
        await new Promise(done => setTimeout(done, 10));
    }
};

/** A store with the entry of one engine, which states the version of its weights. */
const createStore = () => {
    const records = [{ offset: 0, key: engine as string, value: Buffer.from("1") }];
    const reads = { count: 0 };
    const answer = (from: number) => {
        reads.count += 1;
        return Promise.resolve(Right({ records: records.slice(from), end: records.length }));
    };
    return {
        reads,
        port: { newest: () => answer(0), read: (_: string, from: number) => answer(from) } as unknown as StorePort,
        state: (version: number): void => {
            records.push({ offset: records.length, key: engine, value: Buffer.from(String(version)) });
        },
    };
};

type VmParts = {
    readonly store: StorePort;
    readonly isReader: boolean;
    readonly queryRelay?: (from: number | undefined, isReadWanted: boolean) => TopicAnswer | undefined;
};

/** Starts the registry of a VM that gets no requests, while version 2 of the weights is the target. */
const startVm = (t: ExecutionContext, { store, isReader, queryRelay = () => undefined }: VmParts) => {
    const state = { declaredState: initialDeclaredState };
    const endpointTable = createEndpointTable({
        clock,
        failureDomain: "fd" as FailureDomain,
        declaredState: () => state.declaredState,
        peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        domainSilentMs: () => 0,
        outdatedLimitMs: () => 8_500,
        onChange: () => undefined,
        onGone: () => undefined,
    });
    const registry = startRegistry({
        clock,
        storeFor: () => store,
        wire: {
            registryTopic: "servers",
            isRepeatedEntry: () => false,
            decodeEntry: (_: string, value: Buffer) =>
                Right(entryOf(engine, { versions: new Map([[model, Number(value.toString())]]) })),
        } as unknown as DirectoryWire,
        endpointTable,
        logger: createLoggers("silent", { vm: "vm", failureDomain: "fd", incarnation: "run" })("registry"),
        metrics: createMetrics(),
        leavingMs: () => 2_000,
        isReader: () => isReader,
        queryRelay: (_, from, isReadWanted) => Promise.resolve(queryRelay(from, isReadWanted)),
        mustWaitForRelay: () => false,
        checkSuspension: () => undefined,
        onStoreRead: () => undefined,
        onEntries: () => undefined,
    });
    t.teardown(registry.stop);
    /** Receives the digest of another VM's entries, as beacons bring it. */
    const receiveDigest = (digest: string): void => {
        const now = clock.now();
        const beacon = { registry: { digest, ageMs: 0 } };
        registry.applyBeacon({ beacon, sentAfter: now, stampedAt: now } as unknown as ReceivedBeacon);
    };
    return {
        registry,
        endpointTable,
        receiveDigest,
        setTarget: (version: number): void => {
            const event = { kind: "weights", model, version } as const;
            state.declaredState = stepDeclaredState(state.declaredState, event, clock.now());
        },
        version: () => endpointTable.engines(model)[0]?.version,
    };
};

// Guards against a relay that hands on the weights before, as it takes an entry with other weights for a repeated one.
test("registry versions: a relay answers with an entry in which only the weights have changed", async t => {
    const store = createStore();
    const relay = startVm(t, { store: store.port, isReader: true });
    await waitUntil(() => relay.version() === 1);
    store.state(2);
    await waitUntil(() => relay.version() === 2);
    t.deepEqual(relay.registry.answer(1)?.records.map(({ value }) => value?.toString()), ["2"]);
});

const sources = [
    { name: "from the store", hasRelay: false, isRelayReading: true },
    { name: "from a relay that reads the store", hasRelay: true, isRelayReading: true },
    { name: "from a relay whose entries are confirmed by digest, too", hasRelay: true, isRelayReading: false },
];

// Guards against VMs without requests that go by an entry from before a release of weights and refuse all requests then.
sources.forEach(({ name, hasRelay, isRelayReading }) => {
    test(`registry versions: a VM that peers confirm by digest learns of loaded weights ${name}`, async t => {
        const store = createStore();
        const relay = startVm(t, { store: store.port, isReader: isRelayReading });
        await waitUntil(() => relay.version() === 1);
        const vm = startVm(t, {
            store: store.port,
            isReader: false,
            ...(hasRelay ? { queryRelay: relay.registry.answer } : {}),
        });
        await waitUntil(() => vm.version() === 1);
        const beacons = setInterval(() => {
            time.now += STEP_MS;
            [vm, ...(isRelayReading ? [] : [relay])].forEach(each =>
                each.receiveDigest(each.endpointTable.registryDigest())
            );
        }, 5);
        t.teardown(() => clearInterval(beacons));
        vm.setTarget(2);
        store.state(2);
        await waitUntil(() => vm.version() === 2);
        const readsInSpell = async (): Promise<number> => {
            const { count } = store.reads;
            const until = clock.now() + SPELL_MS;
            await waitUntil(() => clock.now() >= until);
            return store.reads.count - count;
        };
        // The question that brought the weights may have asked for one more read. Confirmed again, none is due any more.
        t.true(await readsInSpell() <= (isRelayReading ? Infinity : 1));
        t.true(isRelayReading || await readsInSpell() === 0);
        t.is(vm.version(), 2);
    });
});
