import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import test from "ava";

import { createAllowances } from "../../allowance/createAllowances.js";
import type { Beacon } from "../../peers/Beacon.js";
import { createMembership } from "../../peers/createMembership.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { organisationOf } from "../support/organisationOf.js";

const RATE = 1_000;
const BURST = 1_000;
const other = "vm-2" as VmId;
const organisation = organisationOf(RATE, BURST);

type Sent = { readonly run: string; readonly upMs: number; readonly spent: number; readonly isLeaving?: boolean; };

const beaconOf = ({ run, upMs, spent, isLeaving = false }: Sent): Beacon => ({
    ...emptyBeacon,
    vm: other,
    incarnation: run as Incarnation,
    upMs,
    sentAt: upMs,
    spent: [[organisation.id, spent, 0]],
    isLeaving,
});

/** Starts the membership and the allowances of a VM; `receive` takes in a beacon, 100 ms after the one before. */
const startVm = () => {
    const time = { now: 60_000 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const membership = createMembership(clock, {
        vm: "vm-1" as VmId,
        incarnation: "own" as Incarnation,
        failureDomain: "fd" as FailureDomain,
        capacity: 1,
        seeds: [],
    });
    const allowances = createAllowances(clock, membership.liveness, () => 0);
    allowances.open([organisation]);
    const receive = (sent: Sent, afterMs = 100): void => {
        time.now += afterMs;
        const beacon = beaconOf(sent);
        if (membership.applyBeacon(beacon, "10.0.0.2:1") !== undefined) {
            allowances.applyBeacon(beacon, "relay");
        }
    };
    return { membership, allowances, receive };
};

const delayed = [
    { name: "one that lists its spending", isLeaving: false },
    { name: "its final one", isLeaving: true },
] as const;

// A datagram of the process of before a restart arrives after the first one of the new process. Taken for another
// restart, it debits all that the VM ever spent; taken for a shutdown, it removes a VM that runs.
delayed.forEach(({ name, isLeaving }) => {
    test(`beacon of an earlier process: a delayed one changes nothing: ${name}`, t => {
        const { membership, allowances, receive } = startVm();
        receive({ run: "first", upMs: 50_000, spent: 50 * BURST });
        receive({ run: "second", upMs: 100, spent: 0 });
        receive({ run: "first", upMs: 50_050, spent: 50 * BURST, isLeaving });
        t.true(allowances.spend(organisation, 1).isRight(), "the organisation is within its rate");
        t.true(membership.current().known.has(other), "the VM runs");
        t.is(membership.current().known.get(other)?.lastReceived?.incarnation as unknown, "second");
    });
});

type Case = {
    readonly name: string;
    readonly sent: readonly (readonly [afterMs: number, sent: Omit<Sent, "spent">])[];
    /** The process whose beacon counts at last; `undefined` if the VM is no member any more. */
    readonly last: string | undefined;
};
const first = { run: "first", upMs: 50_000 };

// A running VM whose beacons are taken for those of an earlier process counts as silent for good.
const cases: readonly Case[] = [
    { name: "a restarted VM counts at once", sent: [[0, first], [100, { run: "second", upMs: 90 }]], last: "second" },
    {
        name: "a restarted VM counts at once when its first beacons are late",
        sent: [[0, first], [3_000, { run: "second", upMs: 90 }]],
        last: "second",
    },
    {
        name: "a VM of unknown age counts at once",
        sent: [[0, first], [100, { run: "second", upMs: Infinity }]],
        last: "second",
    },
    {
        name: "a process of known age after one of unknown age counts at once",
        sent: [[0, { run: "first", upMs: Infinity }], [100, { run: "second", upMs: 50_000 }]],
        last: "second",
    },
    {
        name: "a process that seems to be an earlier one counts when the other is silent",
        sent: [[0, { run: "short", upMs: 10 }], [100, first], [2_000, first]],
        last: "first",
    },
    {
        name: "a delayed beacon changes nothing after many of the new process",
        sent: [
            [0, first],
            [100, { run: "second", upMs: 90 }],
            [900, { run: "second", upMs: 1_000 }],
            [100, { run: "first", upMs: 50_010 }],
        ],
        last: "second",
    },
    {
        name: "a restarted VM counts at once after a delayed beacon of a process that ran briefly",
        sent: [
            [0, first],
            [100, { run: "second", upMs: 90 }],
            [900, { run: "second", upMs: 200 }],
            [50, { run: "third", upMs: 400 }],
        ],
        last: "third",
    },
    {
        name: "a final beacon of the earlier process changes nothing while the new one is silent",
        sent: [[0, first], [100, { run: "second", upMs: 90 }], [5_000, { ...first, isLeaving: true }]],
        last: "second",
    },
    {
        name: "a final beacon of the running process removes it",
        sent: [[0, first], [100, { run: "second", upMs: 90 }], [100, { run: "second", upMs: 190, isLeaving: true }]],
        last: undefined,
    },
];
cases.forEach(({ name, sent, last }) => {
    test(`beacon of an earlier process: ${name}`, t => {
        const { membership, receive } = startVm();
        sent.forEach(([afterMs, each]) => receive({ ...each, spent: 0 }, afterMs));
        t.is(membership.current().known.get(other)?.lastReceived?.incarnation as string | undefined, last);
    });
});
