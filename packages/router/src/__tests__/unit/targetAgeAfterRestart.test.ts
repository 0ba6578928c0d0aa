import type { Clock, ModelName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Right } from "purify-ts";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { outdatedSince } from "../../knowledge/outdatedSince.js";
import { startDeclarations } from "../../knowledge/startDeclarations.js";
import { collectLocalState } from "../../peers/collectLocalState.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import type { PeerSyncSources } from "../../peers/PeerSyncSources.js";
import type { DirectoryWire } from "../../ports/DirectoryWire.js";
import type { StorePort } from "../../ports/StorePort.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { silentLogger } from "../support/silentLogger.js";

const model = "model" as ModelName;
const TARGET = 2;
const AGE_MS = 60_000;

const waitUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) {
        await new Promise(done => setTimeout(done, 5));
    }
};

/** Starts the declarations of a VM whose store names the target weights. */
const start = async (clock: Clock) => {
    const store = {
        newest: () => Promise.resolve(Right({ records: [{ offset: 0, key: "v", value: Buffer.from("v") }], end: 1 })),
        read: () => Promise.resolve(Right({ records: [], end: 1 })),
    } as unknown as StorePort;
    const wire = {
        declarationsTopic: "declarations",
        decodeDeclaration: () => Right({ kind: "weights", model, version: TARGET }),
    } as unknown as DirectoryWire;
    const declarations = startDeclarations({
        clock,
        store,
        wire,
        agent: new EndpointAgent(clock.now),
        logger: silentLogger,
        metrics: createMetrics(),
        onChange: () => undefined,
        onRollout: () => undefined,
        isReader: () => false,
        beaconIntervalMs: () => 200,
        queryRelay: () => Promise.resolve(undefined),
        mustWaitForRelay: () => false,
        checkSuspension: () => undefined,
    });
    await waitUntil(() => declarations.current().weights.has(model));
    return declarations;
};

// A VM that starts again takes target weights that it reads for new ones, and sends requests to an engine whose weights
// were replaced long ago.
test("target age: a VM that starts again learns from its peers since when weights are replaced", async t => {
    const time = { now: 0 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const peer = await start(clock);
    t.teardown(peer.stop);
    time.now = AGE_MS;
    const restarted = await start(clock);
    t.teardown(restarted.stop);
    const sources = {
        clock,
        declarations: peer,
        allowances: { spent: () => [] },
        endpointTable: { ownShares: () => [] },
        demand: { rate: () => 0 },
        quarantine: { beaconFields: () => ({ deaths: [], quarantined: [] }) },
        registry: { beaconFields: () => undefined },
        rollouts: { rows: () => [] },
        orders: { lease: () => ({ tail: undefined }) },
    } as unknown as PeerSyncSources;
    const sent = { ...emptyBeacon, ...collectLocalState(sources) };
    createBeaconEncoder(sent)(sent).map(decodeBeacon).forEach(beacon => {
        if (beacon !== undefined) {
            const { incarnation, failureDomain } = beacon;
            const at = time.now;
            const received = {
                incarnation,
                failureDomain,
                receivedAt: at,
                beacon,
                sentAfter: at,
                stampedAt: at,
                startedBefore: 0,
            };
            restarted.applyBeacon(received, "10.0.0.9:1");
        }
    });
    const since = outdatedSince(restarted.current(), model, TARGET - 1);
    t.true(since !== undefined && since <= 0, `replaced at ${since}, known to the peer at 0`);
});
