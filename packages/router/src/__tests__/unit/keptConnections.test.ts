import test from "ava";

import { keptConnections } from "../../dispatch/keptConnections.js";

// Dozens of VMs keep more connections than an endpoint takes, and bookings on those that it resets are lost.
const cases: readonly (readonly [name: string, most: number | undefined, vms: number, kept: number])[] = [
    ["few VMs, a wide endpoint", 360, 6, 24],
    ["few VMs, a narrow one", 96, 6, 8],
    ["sixty VMs", 430, 61, 3],
    ["more VMs than connections", 96, 410, 1],
    ["nothing is known", undefined, 1, 24],
];

cases.forEach(([name, most, vms, kept]) => {
    test(`keptConnections: ${name}`, t => {
        t.is(keptConnections(most, vms), kept);
    });
});
