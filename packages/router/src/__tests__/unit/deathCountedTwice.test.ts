import test from "ava";

import type { Beacon } from "../../peers/Beacon.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";
import { entryOf } from "../support/entryOf.js";
import { startQuarantine } from "../support/startQuarantine.js";

const served = {
    caller: { key: "key", method: "POST", host: "host", target: "/v1" },
    body: Buffer.from("a body that callers send often"),
} as unknown as ServedRequest;

// VMs know different incarnations of an engine that has just started again under its name. If each names the next death
// differently, one death counts twice, and a harmless request that ran through two VMs is refused for ten minutes.
test("death counted twice: two deaths that two VMs saw do not quarantine a request", async t => {
    const time = { now: 0 };
    const start = () =>
        startQuarantine({
            clock: { now: () => time.now, epoch: () => time.now },
            hasDied: () => Promise.resolve(true),
        });
    const [here, there] = [start(), start()];
    const exchange = (): void => {
        here.applyBeacon(there.beaconFields() as Beacon);
        there.applyBeacon(here.beaconFields() as Beacon);
    };
    const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

    await here.reportBrokenTry(served, entryOf("e", { bornAt: 1 }), "begun");
    await settle();
    exchange();
    t.false(here.isQuarantined(served), "after one death");

    // Another engine, which started again a moment ago, dies; this VM has read its new entry, the other one has not.
    time.now = 4_000;
    await here.reportBrokenTry(served, entryOf("f", { bornAt: 8 }), "begun");
    await there.reportBrokenTry(served, entryOf("f", { bornAt: 7 }), "begun");
    await settle();
    exchange();
    t.false(here.isQuarantined(served), "after two deaths");
    t.false(there.isQuarantined(served), "after two deaths");
});
