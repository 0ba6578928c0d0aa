import test from "ava";

import { maxIdleConnections } from "../../dispatch/maxIdleConnections.js";

// If dozens of VMs kept more connections than an endpoint accepts, requests on those that it resets would be lost.
const cases: readonly (readonly [name: string, maxConnections: number | undefined, vms: number, expected: number])[] = [
    ["few VMs, an endpoint that accepts many connections", 360, 6, 24],
    ["few VMs, an endpoint that accepts few", 96, 6, 8],
    ["dozens of VMs", 430, 61, 3],
    ["more VMs than connections", 96, 410, 1],
    ["unknown limit of connections", undefined, 1, 24],
];

cases.forEach(([name, maxConnections, vms, expected]) => {
    test(`maxIdleConnections: ${name}`, t => {
        t.is(maxIdleConnections(maxConnections, vms), expected);
    });
});
