import type { EndpointName, FailureDomain, Incarnation, ModelName, VmId } from "@azureshunt/core";
import test from "ava";

import type { Beacon } from "../../peers/Beacon.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { engineView } from "../support/engineView.js";

/** A beacon as the last version wrote it that named no models of engines in its rows. */
const EARLIER =
    `[1,"vm-1","run-1","a",7,1000,null,[],3,12,[["model",3,900]],[],[],[["e",3,40]],[["e",2]],null,true,false,40,`
    + `[["e",["k1"]]],[],[],[[800]],["d1",40],5000,0.5,"vm",[],[],[],[],0,[],[],[],[],[]]`;

const model = "model" as ModelName;
const other = "other" as ModelName;
const engine = "e" as EndpointName;
const sent: Beacon = {
    ...emptyBeacon,
    vm: "vm-1" as VmId,
    incarnation: "run-1" as Incarnation,
    failureDomain: "a" as FailureDomain,
    sequence: 7,
    sentAt: 1_000,
    capacity: 0.5,
    revision: 3,
    confirmedMs: 12,
    weights: [[model, 3, 900]],
    demand: 40,
    ordered: [[engine, 3, 40]],
    engineVersions: [[engine, 2]],
    cached: [[engine, [{ key: "k1", tokens: 800 }]]],
    upMs: 5_000,
    registry: { digest: "d1", ageMs: 40 },
};
const encoded = (beacon: Beacon): string => createBeaconEncoder(beacon)(beacon).map(String).join("\n");

// Guards against VMs of different versions that cannot read each other's beacons while they are replaced, and against longer
// beacons where engines serve one model.
test("beacons of an earlier version: with one model an engine, this version writes the same bytes", t => {
    t.is(encoded(sent), EARLIER);
});

test("beacons of an earlier version: the model of an engine with several follows the values that it reads", t => {
    const rows = {
        ordered: [[engine, 3, 40, other]],
        engineVersions: [[engine, 2, model], [engine, 1, other]],
    } as const;
    t.is(
        encoded({ ...sent, ...rows }),
        EARLIER.replace(`["e",3,40]`, `["e",3,40,"other"]`).replace(`["e",2]`, `["e",2,"model"],["e",1,"other"]`),
    );
});

const cases = [
    {
        name: "an engine with one model: its version is learned and its order kept",
        versions: [[model, 1]],
        known: [2],
        isServed: false,
        isSettledServed: true,
    },
    {
        name: "an engine with two models: the version may be of either, the order keeps requests away until it is over",
        versions: [[model, 1], [other, 1]],
        known: [1],
        isServed: false,
        isSettledServed: true,
    },
    {
        name: "an engine with two models, of which this one holds the version that was ordered",
        versions: [[model, 3], [other, 1]],
        known: [3],
        isServed: true,
        isSettledServed: true,
    },
] as const;
/** Longer than an order counts that is not received again. */
const SETTLED_MS = 3_000;

// Guards against requests that are refused for good, or go to engines that refuse them, by what VMs of the last version tell.
cases.forEach(({ name, versions, known, isServed, isSettledServed }) => {
    test(`beacons of an earlier version: ${name}`, t => {
        const time = { now: 1_000 };
        const view = engineView(time);
        view.read({ versions: new Map(versions) });
        view.receiveDatagram(Buffer.from(EARLIER));
        t.deepEqual(view.endpointTable.engines(model).map(({ version }) => version), [...known]);
        t.is(view.placeable().length === 1, isServed);
        t.deepEqual(view.prefixIndex.holders([{ key: "k1", tokens: 800 }], time.now).map(({ holder }) => holder), [
            engine,
        ]);
        time.now += SETTLED_MS;
        t.is(view.placeable().length === 1, isSettledServed);
    });
});
