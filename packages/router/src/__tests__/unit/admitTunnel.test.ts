import { FailureDomain, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { createConnector } from "../../tunnel/createConnector.js";
import type { TunnelAdmission } from "../../tunnel/TunnelAdmission.js";
import { silentLogger } from "../support/silentLogger.js";

const ENDPOINTS = ["lm-1", "lm-2", "lm-3", "lm-4", "desk-1"];

type Record = "recordOpened" | "recordFailed" | "recordAnswered";
type Case = {
    readonly name: string;
    /** What was recorded of the own link to an endpoint, and when, in milliseconds. */
    readonly records?: readonly (readonly [Record, string, number])[];
    /** What peers are answered that ask for an endpoint, and when. */
    readonly asked: readonly (readonly [string, number, TunnelAdmission])[];
    /** When own links are probed. */
    readonly probes?: readonly number[];
};

const failedAt = (now: number): NonNullable<Case["records"]> =>
    ["lm-1", "lm-2", "lm-3"].map(endpoint => ["recordFailed", endpoint, now] as const);

// Guards against a VM opening no connections for peers long after its own links are back, and against peers waiting for
// links that are lost.
const cases: readonly Case[] = [
    { name: "tries while nothing is known", asked: [["lm-1", 0, "try"]] },
    { name: "cannot help with an endpoint that is not registered", asked: [["none-1", 0, "unavailable"]] },
    {
        name: "cannot help while it is cut off, and probes one link a second",
        records: failedAt(0),
        asked: [
            ["lm-4", 300, "unavailable"],
            ["lm-4", 301, "unavailable"],
            ["lm-3", 1_299, "unavailable"],
            ["lm-3", 1_300, "unavailable"],
        ],
        probes: [300, 1_300],
    },
    {
        name: "helps with a service that it reaches while it is cut off from another one",
        records: [...failedAt(0), ["recordAnswered", "desk-1", 100]],
        asked: [["lm-1", 300, "unavailable"], ["desk-1", 301, "try"], ["desk-1", 302, "try"]],
        probes: [300],
    },
    {
        name: "helps again once one of its links has opened a connection",
        records: [...failedAt(0), ["recordOpened", "lm-4", 400]],
        asked: [["lm-1", 400, "try"], ["lm-1", 401, "try"]],
    },
];

cases.forEach(({ name, records = [], asked, probes = [] }) => {
    test(`tunnel for a peer: a VM ${name}`, async t => {
        const time = { now: 0 };
        const probed: number[] = [];
        const connector = createConnector({
            clock: { now: () => time.now, epoch: () => time.now },
            vm: VmId.parse("a0"),
            address: "10.0.0.9:7600",
            askTunnelEnd: () => Promise.resolve(false),
            random: () => 0.5,
            failureDomain: FailureDomain.parse("a"),
            peers: () => [],
            targetAt: address =>
                ENDPOINTS.includes(address)
                    ? {
                        address,
                        service: ServiceName.parse(address.slice(0, address.indexOf("-"))),
                        failureDomain: FailureDomain.parse("a"),
                    }
                    : undefined,
            logger: silentLogger,
            metrics: createMetrics(),
            ports: {
                openOwnLink: () => {
                    probed.push(time.now);
                    return Promise.reject(new Error("refused"));
                },
                schedule: () => () => undefined,
            },
        });
        records.forEach(([record, endpoint, now]) => {
            time.now = now;
            connector[record](endpoint);
        });
        const answers: (typeof asked[number])[] = [];
        for (const [endpoint, now] of asked) {
            time.now = now;
            answers.push([endpoint, now, connector.admitTunnel(endpoint)]);
            // Lets a probe end.
            await new Promise(resolve => setImmediate(resolve));
        }
        t.deepEqual(answers, [...asked]);
        t.deepEqual(probed, [...probes]);
    });
});
