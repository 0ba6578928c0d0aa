import { randomUUID } from "node:crypto";

import { cpuTimeMs, createClock } from "@azureshunt/core";
import type { Incarnation } from "@azureshunt/core";
import { createAddressClaims, createPauseWatch, stopParts } from "@azureshunt/lifecycle";
import type { ManagedPart, StartContext } from "@azureshunt/lifecycle";
import { createLogClient } from "@azureshunt/log";
import { createLoggers, createMetrics } from "@azureshunt/telemetry";
import { start, stop as stopSystem } from "nact";

import { startAdminListener } from "./admin/startAdminListener.js";
import { createAllowancePort } from "./allowance/createAllowancePort.js";
import { createReleasePort } from "./configuration/createReleasePort.js";
import { createTracePort } from "./createTracePort.js";
import { createEndpointConnections } from "./dispatch/createEndpointConnections.js";
import { createRetryPolicy } from "./dispatch/createRetryPolicy.js";
import { createTrafficVersions } from "./fleet/createTrafficVersions.js";
import { startEngineOrders } from "./fleet/startEngineOrders.js";
import { authenticateCaller } from "./gateway/authenticateCaller.js";
import { createKeyCheck } from "./gateway/createKeyCheck.js";
import { startCallerListener } from "./gateway/startCallerListener.js";
import { createIntentPort } from "./intent/createIntentPort.js";
import { createMembershipPort } from "./membership/createMembershipPort.js";
import { createPeerPort } from "./peers/createPeerPort.js";
import { createPlacementPort } from "./placement/createPlacementPort.js";
import type { DaemonContext } from "./ports/DaemonContext.js";
import type { Settings } from "./Settings.js";
import { stopMsOf } from "./stopMsOf.js";
import { createSuspectPort } from "./suspects/createSuspectPort.js";

/** Interval at which the process looks whether it did not run for some time. */
const TICK_MS = 100;

/** A running daemon. */
type Daemon = {
    /** Refuses new requests from now on, as not run. */
    readonly refuse: () => void;
    /** Cuts off requests that still run. */
    readonly cut: () => void;
    /** Stops accepting connections, waits for running requests, hands allowances over, and stops all parts. */
    readonly shutDown: () => Promise<void>;
};

/**
 * Starts all parts of a daemon; the listener for callers last.
 *
 * @param settings validated settings
 * @param lifecycle life cycle of the process
 * @throws Error if a listener cannot be bound, a certificate cannot be read, or the start was aborted
 */
export async function startDaemon(settings: Settings, lifecycle: StartContext): Promise<Daemon> {
    const incarnation = randomUUID() as string as Incarnation;
    const clock = createClock();
    const logger = createLoggers(settings.logging.level, {
        vm: settings.vm,
        failureDomain: settings.failureDomain,
        incarnation,
    });
    const metrics = createMetrics();
    lifecycle.observe({ logger: logger("lifecycle"), metrics, flush: logger.flush });
    const { needed: claim } = createAddressClaims({
        stopMs: stopMsOf(settings.limits),
        signal: lifecycle.signal,
        logger: logger("daemon"),
        metrics,
    });
    const pauses = createPauseWatch({
        clock,
        cpuMs: cpuTimeMs,
        intervalMs: TICK_MS,
        logger: logger("lifecycle"),
        metrics,
    });
    const tickTimer = setInterval(pauses.tick, TICK_MS);
    const system = start(`azureshunt-${settings.vm}`);
    const log = createLogClient(settings.platform.url);
    const peers = await createPeerPort({
        settings,
        incarnation,
        claim,
        logger: logger("peers"),
        peers: () =>
            membership.members()
                .filter(member => member.vm !== settings.vm)
                .map(({ vm, failureDomain, peer }) => ({ vm, failureDomain, address: peer })),
    });
    const membership = createMembershipPort({
        settings,
        incarnation,
        clock,
        random: Math.random,
        logger,
        log,
        system,
        metrics,
    });
    const base = {
        ...{ settings, incarnation, system, clock, random: Math.random, logger, metrics, pauses },
        ...{ membership, peers, log },
    };
    const release = createReleasePort(base);
    const ctx: DaemonContext = { ...base, release };

    const connections = createEndpointConnections();
    const trace = createTracePort(clock.epoch);
    const allowance = createAllowancePort(ctx, membership);
    const versionOf = createTrafficVersions(
        () => placement.inspect().filter(endpoint => endpoint.health === "up"),
        clock.now,
    );
    const fleet = startEngineOrders(ctx, versionOf);
    const intents = createIntentPort(ctx);
    const suspects = createSuspectPort(ctx);
    const placement = createPlacementPort(ctx, { mayShare: suspects.mayShare });
    const draining = { is: false };
    const isDraining = (): boolean => draining.is;
    const onFault = (part: string, err: unknown): void =>
        logger("daemon").error({ part, err }, "Stopping a part failed.");
    /** In the order in which they stop. */
    const parts: readonly ManagedPart[] = [
        { name: "fleet", stop: fleet.stop },
        { name: "allowance", stop: allowance.stop },
        { name: "placement", stop: placement.stop },
        { name: "intents", stop: intents.stop },
        { name: "suspects", stop: suspects.stop },
        { name: "release", stop: release.stop },
        { name: "membership", stop: membership.stop },
        { name: "peers", stop: peers.stop },
    ];
    const connected: readonly ManagedPart[] = [
        { name: "connections", stop: connections.stop },
        { name: "log", stop: log.close },
        { name: "pauses", stop: () => clearInterval(tickTimer) },
        { name: "actors", stop: () => stopSystem(system) },
    ];
    const startListeners = async () => {
        const admin = await startAdminListener({ ctx, release, allowance, placement, trace, isDraining, claim });
        lifecycle.signal.throwIfAborted();
        const callers = await startCallerListener({
            dispatch: {
                ctx,
                placement,
                suspects,
                connections,
                tries: createRetryPolicy(clock, metrics),
                trace,
                recheck: createKeyCheck(release),
            },
            allowance,
            intents,
            authenticate: authenticateCaller,
            versionOf,
            isDraining,
            claim,
        });
        return { admin, callers };
    };
    const { admin, callers } = await startListeners().catch(async (err: unknown) => {
        await stopParts([...parts, ...connected], onFault);
        throw err;
    });
    // A start that fails or is aborted before must not leave a member that does not run.
    membership.join();
    logger("daemon").info({ listen: settings.listen }, "Started.");

    const shutDown = async (): Promise<void> => {
        draining.is = true;
        logger("daemon").info("Draining.");
        const listeners: readonly ManagedPart[] = [
            { name: "callers", drain: callers.drain },
            { name: "hand-over", stop: allowance.drain },
        ];
        // Calls of operators need the parts for their answers.
        await stopParts([...listeners, { name: "admin", stop: admin.stop }, ...parts, ...connected], onFault);
        logger("daemon").info("Stopped.");
    };
    const refuse = (): void => {
        draining.is = true;
        callers.refuse();
    };
    return { refuse, cut: callers.cut, shutDown };
}
