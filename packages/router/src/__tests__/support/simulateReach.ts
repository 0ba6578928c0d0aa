import { FailureDomain, ServiceName, VmId } from "@azureshunt/core";
import type { Millis, Peer } from "@azureshunt/core";
import type { LinkTarget } from "@azureshunt/reach";
import { createMetrics } from "@azureshunt/telemetry";
import type { Socket } from "node:net";
import { Left, Right } from "purify-ts";

import { createConnector } from "../../tunnel/createConnector.js";
import { pickPeers } from "../../tunnel/pickPeers.js";
import type { TunnelAnswer } from "../../tunnel/TunnelAnswer.js";
import { tunnelTiming } from "../../tunnel/tunnelTiming.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { seededRandom } from "./seededRandom.js";
import { silentLogger } from "./silentLogger.js";

/** What happens to a VM: its links to a service, or to all, fail or work again; it is killed or starts again. */
type ReachEvent = {
    readonly at: Millis;
    readonly vms: readonly string[];
    readonly kind: "hang" | "reset" | "heal" | "kill" | "start";
    /** All services if omitted. */
    readonly service?: string;
};

type ReachScenario = {
    readonly seed: number;
    /** Number of VMs by failure domain; they are called `a1`, `a2` and so on. */
    readonly domains: Readonly<Record<string, number>>;
    readonly events: readonly ReachEvent[];
    readonly lengthMs: Millis;
    /** Connections that each VM opens in a second. */
    readonly perSecond: number;
    readonly endpoints: number;
};

/** One connection that a VM wanted. */
type ReachResult = {
    readonly at: Millis;
    readonly vm: string;
    readonly service: string;
    readonly kind: "new" | "tunnel" | "none";
    readonly tookMs: Millis;
    /** VM that opened the tunnel. */
    readonly through: string | undefined;
    /** Since when any VM has reached the endpoint all the time; `undefined` if none does. */
    readonly reachableSince: Millis | undefined;
};

type Connector = ReturnType<typeof createConnector>;
type SimulatedVm = {
    readonly name: string;
    readonly peer: Peer;
    /** By service: how its links fail, and since when. */
    readonly cuts: Map<string, { readonly kind: "hang" | "reset"; }>;
    readonly changedAt: Map<string, Millis>;
    diedAt: Millis | undefined;
    connector: Connector;
};

const SERVICES = ["lm", "desk"] as const;
const DESKS = 3;
/** Round trips over own links, and to peers of the own and of other failure domains. */
const ENDPOINT_RTT_MS = 2;
const NEAR_RTT_MS = 1;
const FAR_RTT_MS = 3;
/** After this time, peers notice that a VM was killed, and that another one became relay. */
const DEATH_NOTICED_MS = 2_000;
const RELAYS = 2;
const NAMED = 4;

/** A connection of which only the end matters. */
const connectionThrough = (through: string | undefined): Socket =>
    ({ through, destroy: () => undefined }) as unknown as Socket;

/** Runs the connectors of a fleet in virtual time, over links that fail. */
export async function simulateReach(scenario: ReachScenario): Promise<readonly ReachResult[]> {
    const { clock, schedule, runUntil } = createVirtualTime();
    const random = seededRandom(scenario.seed);
    const results: ReachResult[] = [];
    const domains = Object.keys(scenario.domains).map(name => FailureDomain.parse(name));
    const targets: readonly LinkTarget[] = Array.from({ length: scenario.endpoints }, (_, i) => ({
        address: `10.0.0.${i}:80`,
        service: ServiceName.parse(i < DESKS ? "desk" : "lm"),
        failureDomain: domains[i % domains.length] ?? FailureDomain.parse("none"),
    }));
    const targetAt = (address: string): LinkTarget | undefined => targets.find(target => target.address === address);
    const vms = new Map<string, SimulatedVm>();

    const isNoticed = ({ diedAt }: SimulatedVm): boolean =>
        diedAt !== undefined && clock.now() - diedAt >= DEATH_NOTICED_MS;
    const present = (domain: FailureDomain | undefined): readonly SimulatedVm[] =>
        [...vms.values()].filter(vm => vm.peer.failureDomain === domain && !isNoticed(vm));
    const knownTo = (vm: SimulatedVm): readonly Peer[] =>
        domains
            .flatMap(domain => domain === vm.peer.failureDomain ? present(domain) : present(domain).slice(0, RELAYS))
            .filter(each => each !== vm)
            .map(({ peer }) => peer);

    const openOwnLink = (vm: SimulatedVm) => (address: string, signal: AbortSignal): Promise<Socket> =>
        new Promise((resolve, reject) => {
            const cut = vm.cuts.get(targetAt(address)?.service ?? "");
            signal.addEventListener("abort", () => reject(new Error("aborted")), { once: true });
            if (cut?.kind !== "hang") {
                schedule(
                    ENDPOINT_RTT_MS,
                    () => cut === undefined ? resolve(connectionThrough(undefined)) : reject(new Error("reset")),
                );
            }
        });

    /** What the peer's listener does; see `serveTunnels`. */
    const serve = (peer: SimulatedVm, address: string, answer: (tunnel: TunnelAnswer["tunnel"]) => void): void => {
        const admission = peer.connector.admitTunnel(address);
        if (admission !== "try") {
            answer(Left(admission === "silent" ? "endpoint-silent" : "peer"));
            return;
        }
        const cut = peer.cuts.get(targetAt(address)?.service ?? "");
        schedule(cut?.kind === "hang" ? tunnelTiming.peerConnectMs : ENDPOINT_RTT_MS, () => {
            if (cut === undefined) {
                peer.connector.recordOpened(address);
                answer(Right(connectionThrough(peer.name)));
                return;
            }
            peer.connector.recordFailed(address);
            const verdict = cut.kind === "hang" ? "endpoint-silent" : "endpoint-refused";
            answer(Left(peer.connector.canJudge(address) ? verdict : "peer"));
        });
    };

    const requestTunnel =
        (vm: SimulatedVm): NonNullable<Parameters<typeof createConnector>[0]["ports"]>["requestTunnel"] =>
        ({ peer: address, target, signal }) =>
            new Promise(resolve => {
                const peer = vms.get(address);
                const state = { isAnswered: false };
                const answer = (
                    tunnel: TunnelAnswer["tunnel"],
                    named: TunnelAnswer["named"] = [],
                    helpers: TunnelAnswer["helpers"] = [],
                ): void => {
                    if (!state.isAnswered) {
                        state.isAnswered = true;
                        signal.removeEventListener("abort", onAbort);
                        resolve({ tunnel, named, helpers });
                    }
                };
                const onAbort = (): void => answer(Left("peer"));
                signal.addEventListener("abort", onAbort, { once: true });
                schedule(tunnelTiming.answerMs, () => answer(Left("peer")));
                const isNear = peer?.peer.failureDomain === vm.peer.failureDomain;
                const rttMs = isNear ? NEAR_RTT_MS : FAR_RTT_MS;
                if (peer !== undefined && peer.diedAt === undefined) {
                    const named = isNear
                        ? []
                        : pickPeers(
                            present(peer.peer.failureDomain).filter(each => each !== peer).map(each => each.peer),
                            NAMED,
                            random,
                        );
                    serve(peer, target, tunnel => {
                        const isUnavailable = tunnel.extract() === "peer";
                        const helpers = isUnavailable ? pickPeers(peer.connector.helpers(target), NAMED, random) : [];
                        schedule(rttMs, () => answer(tunnel, named, helpers));
                    });
                }
            });

    const createVmConnector = (vm: SimulatedVm): Connector =>
        createConnector({
            clock,
            vm: vm.peer.vm,
            address: vm.peer.address,
            askTunnelEnd: () => Promise.resolve(false),
            random,
            failureDomain: vm.peer.failureDomain ?? FailureDomain.parse("none"),
            peers: () => knownTo(vm),
            targetAt,
            logger: silentLogger,
            metrics: createMetrics(),
            ports: {
                openOwnLink: openOwnLink(vm),
                requestTunnel: requestTunnel(vm),
                schedule,
                defer: run => run(),
            },
        });

    Object.entries(scenario.domains).forEach(([domain, count]) =>
        Array.from({ length: count }, (_, i) => `${domain}${i + 1}`).forEach(name => {
            const peer = { vm: VmId.parse(name), address: name, failureDomain: FailureDomain.parse(domain) };
            const vm = {
                name,
                peer,
                cuts: new Map(),
                changedAt: new Map(),
                diedAt: undefined,
            } as unknown as SimulatedVm;
            vm.connector = createVmConnector(vm);
            vms.set(name, vm);
        })
    );

    scenario.events.forEach(({ at, vms: names, kind, service }) =>
        schedule(at, () =>
            names.flatMap(name => vms.get(name) ?? []).forEach(vm => {
                const services = service === undefined ? SERVICES : [service];
                services.forEach(each => vm.changedAt.set(each, at));
                if (kind === "kill") {
                    vm.diedAt = at;
                }
                else if (kind === "start") {
                    vm.diedAt = undefined;
                    vm.connector = createVmConnector(vm);
                }
                else if (kind === "heal") {
                    services.forEach(each => vm.cuts.delete(each));
                }
                else {
                    services.forEach(each => vm.cuts.set(each, { kind }));
                }
            }))
    );

    const reachableSince = (service: string): Millis | undefined => {
        const since = [...vms.values()]
            .filter(vm => vm.diedAt === undefined && !vm.cuts.has(service))
            .map(vm => vm.changedAt.get(service) ?? 0);
        return since.length === 0 ? undefined : Math.min(...since);
    };

    const openOne = async (vm: SimulatedVm): Promise<void> => {
        const target = targets[Math.floor(random() * targets.length)];
        if (target === undefined || vm.diedAt !== undefined) {
            return;
        }
        const at = clock.now();
        const since = reachableSince(target.service);
        const opened = await vm.connector.openConnection(target.address).catch(() => undefined);
        results.push({
            at,
            vm: vm.name,
            service: target.service,
            kind: opened?.kind ?? "none",
            tookMs: clock.now() - at,
            through: (opened?.socket as { readonly through?: string; } | undefined)?.through,
            reachableSince: since,
        });
    };
    const repeat = (vm: SimulatedVm): void => {
        schedule(-Math.log(1 - random()) * 1_000 / scenario.perSecond, () => {
            void openOne(vm);
            repeat(vm);
        });
    };
    vms.forEach(repeat);

    for (let now = 0; now <= scenario.lengthMs; now += 1) {
        runUntil(now);
        // Promises that timers have resolved set further timers, also for this millisecond.
        await new Promise(resolve => setImmediate(resolve));
        runUntil(now);
        await new Promise(resolve => setImmediate(resolve));
    }
    return results;
}
