import { randomUUID } from "node:crypto";

import { createClock } from "@azureshunt/core";
import type { Incarnation } from "@azureshunt/core";
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
import { createSuspectPort } from "./suspects/createSuspectPort.js";

/** A running daemon. */
type Daemon = {
    /** Refuses new requests, waits for running ones, hands allowances over, and stops all parts. */
    readonly shutDown: () => Promise<void>;
};

/**
 * Starts all parts of a daemon.
 *
 * @param settings validated settings
 * @throws Error if a listener cannot be bound or a certificate cannot be read
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
    const incarnation = randomUUID() as string as Incarnation;
    const clock = createClock();
    const logger = createLoggers(settings.logging.level, {
        vm: settings.vm,
        failureDomain: settings.failureDomain,
        incarnation,
    });
    const metrics = createMetrics();
    const system = start(`azureshunt-${settings.vm}`);
    const log = createLogClient(settings.platform.url);
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
    const peers = await createPeerPort(settings, incarnation, () =>
        membership.members()
            .filter(member => member.vm !== settings.vm)
            .map(({ vm, failureDomain, peer }) => ({ vm, failureDomain, address: peer })));
    const base = { settings, incarnation, system, clock, random: Math.random, logger, metrics, membership, peers, log };
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
    });
    const admin = await startAdminListener({ ctx, release, allowance, placement, trace, isDraining });
    logger("daemon").info({ listen: settings.listen }, "Started.");

    const shutDown = async (): Promise<void> => {
        draining.is = true;
        logger("daemon").info("Draining.");
        await callers.drain();
        await allowance.drain();
        [fleet, allowance, placement, intents, suspects, release, membership, peers].forEach(part => void part.stop());
        await admin.stop();
        await connections.stop();
        await log.close();
        stopSystem(system);
        logger("daemon").info("Stopped.");
    };
    return { shutDown };
}
