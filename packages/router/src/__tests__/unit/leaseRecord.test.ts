import type { EndpointName, ModelName, VmId } from "@azureshunt/core";
import test from "ava";

import { decodeLeaseRecord } from "../../fleet/decodeLeaseRecord.js";
import { encodeLeaseRecord } from "../../fleet/encodeLeaseRecord.js";
import type { LeaseRecord } from "../../fleet/LeaseRecord.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import { emptyBeacon } from "../support/emptyBeacon.js";

// A VM does not know who holds the lease, or misses orders that it has to wait for, during an update of the router.

const holder = "vm-1" as VmId;
const engine = "i-1" as EndpointName;

const records: readonly { readonly name: string; readonly record: LeaseRecord; }[] = [
    { name: "without orders", record: { holder, stated: undefined } },
    { name: "with no orders to wait for", record: { holder, stated: { orderable: [], unanswered: [], targets: [] } } },
    {
        name: "with orders on a known and on an unknown count",
        record: {
            holder,
            stated: {
                orderable: [{ endpoint: engine, bornAt: 1_771_226_237_190 }],
                unanswered: [
                    { endpoint: engine, bornAt: 1_771_226_237_190, ordersTaken: 2, ageMs: 700 },
                    { endpoint: engine, bornAt: 1_771_226_200_000, ordersTaken: undefined, ageMs: 0 },
                ],
                targets: [["model" as ModelName, 3, 1_200]],
            },
        },
    },
];

records.forEach(({ name, record }) => {
    test(`lease record: one ${name} is decoded unchanged`, t => {
        t.deepEqual(decodeLeaseRecord(encodeLeaseRecord(record)), record);
    });
});

const texts: readonly { readonly name: string; readonly text: string; readonly stated: LeaseRecord["stated"]; }[] = [
    { name: "of an earlier version", text: "vm-1", stated: undefined },
    { name: "with a second line that is no JSON", text: "vm-1\n[[", stated: undefined },
    { name: "with a negative age", text: "vm-1\n[[],[[\"i-1\",5,0,-1]],[]]", stated: undefined },
    { name: "with orders in another form", text: "vm-1\n{\"orders\":[]}", stated: undefined },
    {
        name: "of a later version, with more fields",
        text: "vm-1\n[[[\"i-1\",5,\"x\"]],[[\"i-1\",5,0,9,\"x\"]],[[\"m\",2,7,\"x\"]],\"x\"]",
        stated: {
            orderable: [{ endpoint: engine, bornAt: 5 }],
            unanswered: [{ endpoint: engine, bornAt: 5, ordersTaken: 0, ageMs: 9 }],
            targets: [["m" as ModelName, 2, 7]],
        },
    },
];

texts.forEach(({ name, text, stated }) => {
    test(`lease record: the holder of one ${name} is known`, t => {
        t.deepEqual(decodeLeaseRecord(Buffer.from(text)), { holder, stated });
    });
});

test("lease record: a VM of an earlier version that sends a whole record as the holder's name names the holder", t => {
    const lease = { offset: 4, holder: "vm-1\n[[],[]]" as VmId, ageMs: 10 };
    const sent = { ...emptyBeacon, lease };
    t.deepEqual(createBeaconEncoder(sent)(sent).map(decodeBeacon).map(beacon => beacon?.lease), [{ ...lease, holder }]);
});
