import { createClock, FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import type { Configuration, EndpointSpec } from "@azureshunt/release";
import { createMetrics } from "@azureshunt/telemetry";
import { start } from "nact";
import { pino } from "pino";
import { Left } from "purify-ts";

import type { DaemonContext } from "../../ports/DaemonContext.js";
import { Settings } from "../../Settings.js";
import { FakePeers } from "./FakePeers.js";

/** A daemon's context without a network; the test declares its configuration. */
type FakeContext = {
    readonly ctx: DaemonContext;
    /** Applies a configuration with these endpoints, at the next revision. */
    readonly declare: (endpoints: readonly EndpointSpec[]) => void;
};

const configurationOf = (revision: number, endpoints: readonly EndpointSpec[]): Configuration => ({
    revision,
    organisations: new Map(),
    keys: new Map(),
    models: new Map(),
    services: new Map(),
    endpoints: new Map(endpoints.map(spec => [spec.name, spec])),
    withdrawnKeys: new Map(),
});

/** Creates a context for tests of one part of the daemon. */
export function fakeContext(name = "vm-1", peers = new FakePeers()): FakeContext {
    const vm = VmId.parse(name);
    const failureDomain = FailureDomain.parse("fd-1");
    const listeners = new Set<(cfg: Configuration) => void>();
    let current: Configuration | undefined;
    const self = {
        vm,
        failureDomain,
        state: "live" as const,
        peer: "127.0.0.1:1",
        admin: "127.0.0.1:2",
        incarnation: undefined,
    };
    const port = peers.portOf(vm);
    const unused = () => Promise.resolve(Left({ kind: "unreachable" as const }));
    const ctx: DaemonContext = {
        settings: Settings.parse({
            vm,
            failureDomain,
            listen: { caller: "127.0.0.1:0", admin: "127.0.0.1:0", peer: "127.0.0.1:0" },
            platform: { url: "http://127.0.0.1:1" },
            peers: { secret: "0123456789abcdef" },
        }),
        incarnation: Incarnation.parse("daemon-run-1"),
        system: start(),
        clock: createClock(),
        random: () => 0.5,
        logger: () => pino({ level: "silent" }),
        metrics: createMetrics(),
        pauses: { check: () => undefined, register: () => () => undefined },
        release: {
            current: () => current,
            subscribe: onChange => {
                listeners.add(onChange);
                return () => listeners.delete(onChange);
            },
            staleness: () => 0,
        },
        membership: {
            self,
            members: () => [self, ...port.peers().map(peer => ({ ...self, vm: peer.vm }))],
            subscribe: () => () => undefined,
        },
        peers: port,
        log: { append: unused, read: unused },
    };
    const declare: FakeContext["declare"] = endpoints => {
        current = configurationOf((current?.revision ?? 0) + 1, endpoints);
        listeners.forEach(listener => listener(current!));
    };
    return { ctx, declare };
}
