import type { ModelName } from "@azureshunt/core";
import test from "ava";

import { outdatedSince } from "../../knowledge/outdatedSince.js";
import { collectLocalState } from "../../peers/collectLocalState.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import type { PeerSyncSources } from "../../peers/PeerSyncSources.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { startTargetDeclarations } from "../support/startTargetDeclarations.js";

const model = "model" as ModelName;
const TARGET = 2;
const AGE_MS = 60_000;

// A VM that starts again takes target weights that it reads for new ones, and sends requests to an engine whose weights
// were replaced long ago.
test("target age: a VM that starts again learns from its peers since when weights are replaced", async t => {
    const time = { now: 0 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const peer = await startTargetDeclarations(clock, model, TARGET);
    t.teardown(peer.stop);
    time.now = AGE_MS;
    const restarted = await startTargetDeclarations(clock, model, TARGET);
    t.teardown(restarted.stop);
    const sources = {
        clock,
        declarations: peer,
        allowances: { spent: () => [] },
        endpointTable: { ownShares: () => [] },
        demand: { rate: () => 0 },
        quarantine: { beaconFields: () => ({ deaths: [], quarantined: [] }) },
        endpointLimits: { rows: () => [], loadRows: () => [], applyBeacon: () => false },
        availability: { rows: () => [], applyBeacon: () => false },
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
