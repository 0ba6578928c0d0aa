import { createClock, FailureDomain, ServiceName, VmId } from "@azureshunt/core";
import type { TunnelFailure } from "@azureshunt/reach";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import type { Socket } from "node:net";
import { Left, Right } from "purify-ts";

import { createConnector } from "../../tunnel/createConnector.js";
import { silentLogger } from "../support/silentLogger.js";

const target = {
    address: "10.0.0.1:80",
    service: ServiceName.parse("lm"),
    failureDomain: FailureDomain.parse("a"),
};

type Case = {
    readonly name: string;
    /** What the peers answer, by name; the first letter is the failure domain, that of this VM is `a`. */
    readonly answers: Readonly<Record<string, TunnelFailure | "opened">>;
    /** Whether this VM's own links have lately failed to open a connection to any endpoint. */
    readonly isCutOff?: boolean;
    readonly isDead: boolean;
};

const cases: readonly Case[] = [
    {
        name: "the own domain's links are reset, and a peer of another one reaches the endpoint",
        answers: { a1: "endpoint-refused", a2: "endpoint-refused", b1: "opened" },
        isDead: false,
    },
    {
        name: "all domains find that nothing listens",
        answers: { a1: "endpoint-refused", b1: "endpoint-refused" },
        isCutOff: true,
        isDead: true,
    },
    {
        name: "one domain finds that nothing listens, another one gets no answer, and this VM is cut off",
        answers: { a1: "endpoint-refused", b1: "endpoint-silent" },
        isCutOff: true,
        isDead: false,
    },
    {
        name: "no peer can tell, and this VM is cut off",
        answers: { a1: "peer", b1: "peer" },
        isCutOff: true,
        isDead: false,
    },
    { name: "no peer can tell, and own links work", answers: { a1: "peer", b1: "peer" }, isDead: true },
];

// Guards against the requests at endpoints being quarantined by a failure domain whose links to these were reset.
cases.forEach(({ name, answers, isCutOff = false, isDead }) => {
    test(`endpoint that refuses this VM counts as ${isDead ? "dead" : "alive"}: ${name}`, async t => {
        const connector = createConnector({
            clock: createClock(),
            vm: VmId.parse("a0"),
            address: "10.0.0.9:7600",
            askTunnelEnd: () => Promise.resolve(false),
            random: () => 0.5,
            failureDomain: FailureDomain.parse("a"),
            peers: () =>
                Object.keys(answers).map(vm => ({
                    vm: VmId.parse(vm),
                    address: vm,
                    failureDomain: FailureDomain.parse(vm.slice(0, 1)),
                })),
            targetAt: address => ({ ...target, address }),
            logger: silentLogger,
            metrics: createMetrics(),
            ports: {
                requestTunnel: ({ peer }) => {
                    const answer = answers[peer] ?? "peer";
                    const socket = { destroy: () => undefined } as unknown as Socket;
                    const tunnel = answer === "opened" ? Right(socket) : Left(answer);
                    return Promise.resolve({ tunnel, named: [], helpers: [] });
                },
            },
        });
        if (isCutOff) {
            ["10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"].forEach(connector.recordFailed);
        }
        t.is(connector.isCutOff(), isCutOff);
        t.is(await connector.confirmDead(target.address), isDead);
    });
});
