import { randomUUID } from "node:crypto";
import type { Server } from "node:http";

import { cpuTimeMs, createClock } from "@azureshunt/core";
import type { EndpointName, Incarnation, Millis, Tokens } from "@azureshunt/core";
import { budgetOf, defaultBounds } from "@azureshunt/flow";
import { createDrainLog } from "@azureshunt/http";
import { afterPendingReads, createAddressClaims, createPauseWatch } from "@azureshunt/lifecycle";
import { handlePendingSignals, startTimeout } from "@azureshunt/lifecycle";
import type { ManagedPart } from "@azureshunt/lifecycle";
import { createLoggers, createMetrics, maxDescriptors } from "@azureshunt/telemetry";

import { createAllowanceQueue } from "./allowance/createAllowanceQueue.js";
import { createAllowances } from "./allowance/createAllowances.js";
import { createRouter } from "./createRouter.js";
import { createEndConfirmation } from "./dispatch/createEndConfirmation.js";
import { EndpointAgent } from "./dispatch/EndpointAgent.js";
import { hasDied } from "./dispatch/hasDied.js";
import { maxIdleConnections } from "./dispatch/maxIdleConnections.js";
import { createEngineCalls } from "./fleet/createEngineCalls.js";
import { createOutdatedGauges } from "./fleet/createOutdatedGauges.js";
import { orderFence } from "./fleet/orderFence.js";
import { startOrders } from "./fleet/startOrders.js";
import { createByteBudget } from "./flow/createByteBudget.js";
import { createHeapBudget } from "./flow/createHeapBudget.js";
import { createUnreadBodies } from "./flow/createUnreadBodies.js";
import { registerHeapParts } from "./flow/registerHeapParts.js";
import { startDeclarations } from "./knowledge/startDeclarations.js";
import { knowledgeParts } from "./knowledgeParts.js";
import { createMembership } from "./peers/createMembership.js";
import { createPeerLoad } from "./peers/createPeerLoad.js";
import { createRelayBuffer } from "./peers/createRelayBuffer.js";
import type { PeerSyncSources } from "./peers/PeerSyncSources.js";
import { peerTiming } from "./peers/peerTiming.js";
import { startAnnouncing } from "./peers/startAnnouncing.js";
import { startPeerListener } from "./peers/startPeerListener.js";
import { startPeerSync } from "./peers/startPeerSync.js";
import { createAvailability } from "./placement/createAvailability.js";
import { createBrittleServices } from "./placement/createBrittleServices.js";
import { createDemand } from "./placement/createDemand.js";
import { createEndpointLimits } from "./placement/createEndpointLimits.js";
import { createEndpointTable } from "./placement/createEndpointTable.js";
import { createPerformance } from "./placement/createPerformance.js";
import { createPrefixIndex } from "./placement/createPrefixIndex.js";
import { limitsOfHolder } from "./placement/limitsOfHolder.js";
import type { StorePort } from "./ports/StorePort.js";
import { createQuarantine } from "./quarantine/createQuarantine.js";
import { isProber } from "./quarantine/isProber.js";
import { startRegistry } from "./registry/startRegistry.js";
import { requestParts } from "./requestParts.js";
import { createRollouts } from "./rollout/createRollouts.js";
import { sendReport } from "./rollout/sendReport.js";
import type { Router } from "./Router.js";
import type { RouterParts } from "./RouterParts.js";
import { connectionCounters } from "./serve/connectionCounters.js";
import { countListenerFaults } from "./serve/countListenerFaults.js";
import { createDegradation } from "./serve/createDegradation.js";
import { createFactsWait } from "./serve/createFactsWait.js";
import { createIgnoredHeaderLog } from "./serve/createIgnoredHeaderLog.js";
import { createOverloadGuard } from "./serve/createOverloadGuard.js";
import { createRequestHandler } from "./serve/createRequestHandler.js";
import { createRequestQueues } from "./serve/createRequestQueues.js";
import { createRetryBudgets } from "./serve/createRetryBudgets.js";
import { createRunClaims } from "./serve/createRunClaims.js";
import { createServiceShares } from "./serve/createServiceShares.js";
import { createTickLag } from "./serve/createTickLag.js";
import type { FreshnessBounds } from "./serve/FreshnessBounds.js";
import { startCallerServer } from "./serve/startCallerServer.js";
import { stopMarginMs } from "./serve/stopMarginMs.js";
import { startGauges } from "./startGauges.js";
import { startHeapWatch } from "./startHeapWatch.js";
import { startMetricsListener } from "./startMetricsListener.js";
import { startTicks } from "./startTicks.js";
import { countStoreCalls } from "./store/countStoreCalls.js";
import { createRelayReads } from "./store/createRelayReads.js";
import { measureStore } from "./store/measureStore.js";
import type { StoreCallReason } from "./store/StoreCallReason.js";
import { startStreams } from "./streams/startStreams.js";
import { askTunnelEnd } from "./tunnel/askTunnelEnd.js";
import { closeTunnels } from "./tunnel/closeTunnels.js";
import { createConnector } from "./tunnel/createConnector.js";
import { createTunnelEnds } from "./tunnel/createTunnelEnds.js";
import { sendDrainNotice } from "./tunnel/sendDrainNotice.js";
import { serveTunnels } from "./tunnel/serveTunnels.js";

/** Allows for late timers and for the milliseconds that a request takes to arrive. */
const KEY_MARGIN_MS = 600;
/** Allows for the time that a request may wait in the engine's queue before it begins. */
const WEIGHTS_MARGIN_MS = 1_500;
/** Interval of the ticks of all time-driven components. */
const TICK_MS = 100;
const MISDIRECTED = 421;

/**
 * Starts all components of a router; the listener for callers last.
 *
 * @throws Error if an address cannot be bound, or if the start was aborted
 */
export async function startRouter(parts: RouterParts): Promise<Router> {
    const { settings, directory } = parts;
    const incarnation = randomUUID() as string as Incarnation;
    const clock = createClock();
    const loggers = createLoggers(settings.logLevel, {
        vm: settings.vm,
        failureDomain: settings.failureDomain,
        incarnation,
    });
    const logger = loggers("router");
    const metrics = createMetrics();
    const heapWatch = startHeapWatch(clock, loggers, metrics);
    parts.lifecycle?.observe({ logger: loggers("lifecycle"), metrics, flush: loggers.flush });
    const claims = createAddressClaims({
        stopMs: settings.stopMs,
        signal: parts.lifecycle?.signal,
        logger,
        metrics,
    });
    const store = measureStore(parts.store, clock, metrics);
    const countCalls = (topic: string, reads: StoreCallReason, writes?: StoreCallReason): StorePort =>
        countStoreCalls({ store, metrics, topic, reads, writes });
    const storeFor = (topic: string) => (reason: StoreCallReason): StorePort => countCalls(topic, reason);
    // Calls to peers, and reports and orders: orders of one VM must not arrive from another one.
    const agent = new EndpointAgent(clock.now, parts);
    const connector = createConnector({
        clock,
        vm: settings.vm,
        address: settings.listen.peers,
        askTunnelEnd: (carrier, id) => askTunnelEnd(agent, carrier, id),
        random: Math.random,
        failureDomain: settings.failureDomain,
        peers: () => membership.livePeers(),
        targetAt: address => endpointTable.entryAt(address),
        logger,
        metrics,
        open: parts.open,
    });
    const requestAgent = new EndpointAgent(clock.now, {
        maxIdle: address => {
            const service = endpointTable.entryAt(address)?.service;
            const declared = service === undefined
                ? undefined
                : declarations.current().configuration?.services.get(service);
            return maxIdleConnections(declared?.maxConnections, membership.vms());
        },
        openConnection: connector.openConnection,
        isBlocked: connector.isBlocked,
        onAnswer: connector.recordAnswered,
    });
    const prefixIndex = createPrefixIndex(holder =>
        limitsOfHolder(declarations.current().configuration, holder, endpointTable.entryOf(holder as EndpointName))
    );
    /** `hasTunnelTo` is replaced once there are tunnels; beacons are received before. */
    const state = { isDraining: false, settings, hasTunnelTo: (() => false) as (address: string) => boolean };
    const membership = createMembership(clock, {
        vm: settings.vm,
        incarnation,
        failureDomain: settings.failureDomain,
        capacity: settings.capacity,
        seeds: settings.seeds.filter(seed => seed !== settings.listen.peers),
    });

    const pauses = createPauseWatch({
        clock,
        cpuMs: cpuTimeMs,
        intervalMs: TICK_MS,
        logger: loggers("lifecycle"),
        metrics,
    });

    const relayReads = createRelayReads({
        clock,
        agent,
        membership,
        metrics,
        isFirstStart: settings.isFirstStart,
    });
    const factsWait = createFactsWait({ clock });
    (["counted", "uncounted"] as const).forEach(kind => pauses.register(kind, factsWait.recordPause));
    const declarations = startDeclarations({
        clock,
        storeFor: storeFor("declarations"),
        wire: directory,
        agent,
        logger: loggers("knowledge"),
        metrics,
        checkSuspension: pauses.check,
        onRollout: order => rollouts.order(order),
        readerScope: membership.readerScope,
        isForDomains: membership.reachesOtherDomains,
        // The relays of other failure domains pass the confirmation on, so it must not wait for a round here.
        onFleetRead: () => membership.reachesOtherDomains() ? beacons.sendSoon() : undefined,
        beaconIntervalMs: membership.beaconIntervalMs,
        // A withdrawn key is a change too, and keys that are not confirmed in time are refused.
        configurationMs: () => Math.min(state.settings.configurationMs, state.settings.keyWithdrawalMs),
        queryRelay: relayReads.query,
        mustWaitForRelay: relayReads.mustWait,
        onConfirmed: factsWait.recordConfirmed,
        onChange: () => {
            allowances.open(declarations.current().configuration?.organisations.values() ?? []);
            beacons.sendSoon();
        },
    });
    pauses.register("uncounted", declarations.onSuspended);
    const servesForMs = (): Millis => state.settings.weightsMs - WEIGHTS_MARGIN_MS;
    const peerLoad = createPeerLoad({
        clock,
        failureDomain: settings.failureDomain,
        isRelay: membership.isRelay,
        roleOf: membership.roleOf,
    });
    const relayBuffer = createRelayBuffer({
        clock,
        vm: settings.vm,
        relays: membership.relays,
        beaconIntervalMs: membership.beaconIntervalMs,
    });
    const availability = createAvailability({
        clock,
        random: Math.random,
        entryOf: endpoint => endpointTable.entryOf(endpoint),
        isReachedByTunnel: ({ address }) => connector.isBlocked(address) || state.hasTunnelTo(address),
        sendSoon: () => beacons.sendSoon(),
        logger: loggers("endpoint"),
        metrics,
    });
    const endpointTable = createEndpointTable({
        clock,
        failureDomain: settings.failureDomain,
        declaredState: declarations.current,
        peerLoadAt: peerLoad.at,
        domainSilentMs: membership.domainSilentMs,
        outdatedLimitMs: servesForMs,
        onChange: (endpoint, change, inputs) =>
            loggers("endpoint").info({ endpoint, change, ...inputs }, "The view of an endpoint changed."),
        onGone: prefixIndex.forget,
        performance: createPerformance({ clock, lagMs: () => tickLag.recentMs(), metrics }),
        availability,
    });
    const registry = startRegistry({
        clock,
        storeFor: storeFor("registry"),
        wire: directory,
        endpointTable,
        logger: loggers("registry"),
        metrics,
        leavingMs: () => state.settings.leavingMs,
        isReader: membership.isReader,
        queryRelay: relayReads.query,
        mustWaitForRelay: relayReads.mustWait,
        checkSuspension: pauses.check,
        onEntries: entries => {
            streams.addEntries(entries);
            requestQueues.onLoadKnown();
        },
        // With many VMs, beacons are less frequent than reads; a reader's next regular beacon would reach the others
        // too late.
        onStoreRead: () =>
            membership.isReader() && membership.vms() > peerTiming.fewVms ? beacons.sendSoon() : undefined,
    });
    pauses.register("uncounted", registry.onSuspended);
    const liveVms = (): { readonly vms: number; readonly silentVms: number; } => {
        const { peers, silent } = membership.liveness();
        return { vms: peers + 1, silentVms: silent.length };
    };
    const requestQueues = createRequestQueues({
        clock,
        configuration: () => declarations.current().configuration,
        placingVms: membership.vms,
        freeSlots: endpointTable.freeSlots,
        schedule: startTimeout,
        metrics,
    });
    const demand = createDemand(clock);
    const fleetDemand = (): Tokens => demand.rate() + membership.demand();
    const allowances = createAllowances(clock, membership.liveness, Math.random);
    pauses.register("counted", ({ ms }) => [membership, peerLoad, allowances].forEach(part => part.onPaused(ms)));
    const unreadBodies = createUnreadBodies({
        clock,
        entryOf: endpointTable.entryOf,
        othersAt: endpoint => peerLoad.at(endpoint).unreadBytes ?? 0,
        hasOthers: peerLoad.hasUnread,
        vms: liveVms,
        logger: loggers("flow"),
        metrics,
    });
    const quarantine = createQuarantine({
        clock,
        onDeath: unreadBodies.recordDeath,
        hasDied: async address => await hasDied(address) && connector.confirmDead(address),
        isRelay: membership.isRelay,
        isProber: key => isProber(key, settings, membership.livePeers()),
        sendSoon: () => beacons.sendSoon(),
        logger: loggers("quarantine"),
        metrics,
    });
    const endpointLimits = createEndpointLimits({
        clock,
        random: Math.random,
        entryOf: endpointTable.entryOf,
        sumOfOthers: row => peerLoad.at(row).running,
        vms: liveVms,
        sendSoon: () => beacons.sendSoon(),
        logger: loggers("limit"),
        metrics,
    });
    const orders = startOrders({
        clock,
        vm: settings.vm,
        store: countCalls("lease", "lease"),
        endpointTable,
        calls: createEngineCalls(agent, {
            onUnreached: connector.checkLink,
            onHead: (address, res) => {
                const entry = endpointTable.entryAt(address);
                const head = parts.endpointWire.decodeHead(res);
                // With 421 another endpoint may have answered.
                if (entry !== undefined && head.status !== MISDIRECTED) {
                    availability.observe(entry, { ...head, isGenuine: true, shows: "nothing", sentAt: clock.now() });
                }
            },
        }),
        wire: parts.endpointWire,
        declaredState: declarations.current,
        logger: loggers("fleet"),
        checkSuspension: pauses.check,
        servesForMs,
        demand: fleetDemand,
        leaseMs: () => state.settings.orderLeaseMs,
        rank: lastHolder => membership.rank(lastHolder, declarations.hasStore()),
        isLeaseWanted: () => rollouts.isLeaderWanted(),
        isCutOff: () => connector.isCutOff() || endpointTable.engineServices().some(connector.isServiceCutOff),
        onTargets: declarations.learnTargets,
        sendSoon: () => beacons.sendSoon(),
    });
    pauses.register("uncounted", () => orders.applyLeaseEvent({ kind: "suspended" }));

    const rollouts = createRollouts({
        clock,
        vm: settings.vm,
        incarnation,
        random: Math.random,
        store: countCalls("rollouts", "recorded", "record"),
        wire: directory,
        exposure: () => state.settings.rolloutExposure,
        isLeader: () => orderFence(orders.lease(), clock.now()) !== undefined,
        endpointsOf: endpointTable.servingEntries,
        report: report => void sendReport(agent, membership.addressOf(orders.lease().tail?.holder), report),
        sendSoon: () => beacons.sendSoon(),
        logger: loggers("rollout"),
        metrics,
    });
    pauses.register("uncounted", rollouts.onSuspended);

    const streams = startStreams({
        clock,
        settings,
        agent,
        store: countCalls("versions", "recorded", "record"),
        endpointTable,
        registry,
        rollouts,
        membership,
        leavingMs: () => state.settings.leavingMs,
        mustWaitForRelay: relayReads.mustWait,
        send: (datagram, address) => beacons.send(datagram, address),
        logger: loggers("streams"),
    });

    const sources: PeerSyncSources = {
        clock,
        declarations,
        allowances,
        endpointTable,
        prefixIndex,
        demand,
        orders,
        availability,
        endpointLimits,
        quarantine,
        unreadBodies,
        registry,
        peerLoad,
        membership,
        relayBuffer,
        rollouts,
    };
    registerHeapParts(heapWatch, knowledgeParts({ ...sources, streams, loggers, metrics }));
    const beacons = startPeerSync({
        sources,
        settings,
        incarnation,
        logger,
        metrics,
        checkSuspension: pauses.check,
        onApplied: requestQueues.onLoadKnown,
        receiveOther: streams.receive,
        claim: claims.needed,
    });
    // Confirmations by peers count only after they have echoed a timestamp from after the pause, so send one soon. Deferred,
    // because the pause may be noticed while a round of beacons is being sent.
    (["counted", "uncounted"] as const).forEach(kind =>
        pauses.register(kind, () => afterPendingReads(beacons.sendSoon))
    );

    const tickLag = createTickLag(clock, TICK_MS);
    pauses.register("counted", ({ ms }) => [tickLag.recordPause, endpointTable.onPaused].forEach(tell => tell(ms)));
    const overload = createOverloadGuard({ clock, random: Math.random, lag: tickLag });
    const bounds = (): FreshnessBounds => ({
        maxAgeForKeysMs: state.settings.keyWithdrawalMs - KEY_MARGIN_MS,
        maxAgeForDenialMs: state.settings.configurationMs,
    });
    const byteBudget = createByteBudget({
        clock,
        budget: () => budgetOf(state.settings.memoryMb),
        logger: loggers("flow"),
        metrics,
    });
    const heapBudget = createHeapBudget({ clock, watch: heapWatch });
    const isFull = (): boolean => byteBudget.isExhausted() || !heapBudget.hasRoom();
    const runClaims = createRunClaims();
    const handler = createRequestHandler({
        runClaims,
        byteBudget,
        heapBudget,
        unreadBodies,
        flowBounds: () => ({ ...defaultBounds, ...state.settings.flow }),
        clock,
        random: Math.random,
        declaredState: declarations.current,
        endpointTable,
        availability,
        brittleServices: createBrittleServices({ clock, random: Math.random, vms: membership.vms }),
        endpointLimits,
        reportIgnoredHeaders: createIgnoredHeaderLog({ logger: loggers("endpoint"), metrics }),
        prefixIndex,
        allowances,
        allowanceQueue: createAllowanceQueue({
            clock,
            allowances,
            schedule: startTimeout,
        }),
        demand,
        retryBudgets: createRetryBudgets(() => state.settings.retries, () => membership.vms()),
        quarantine,
        rollouts,
        streams,
        agent: requestAgent,
        confirmEnd: createEndConfirmation({
            agent: requestAgent,
            clock,
            encodeRunCheck: parts.endpointWire.encodeRunCheck,
            decodeReport: parts.endpointWire.decodeReport,
            logger: loggers("endpoint"),
            metrics,
        }),
        callerWire: parts.callerWire,
        endpointWire: parts.endpointWire,
        bounds,
        logger: loggers("request"),
        metrics,
        fleetDemand,
        placingVms: membership.vms,
        isDomainSilent: domain => membership.domainSilentMs(domain) > 0,
        checkSuspension: pauses.check,
        factsWait,
        isDraining: () => state.isDraining,
        isLagging: tickLag.isLagging,
        serviceShares: createServiceShares(clock),
        degradation: createDegradation({
            clock,
            random: Math.random,
            routes: () => declarations.current().configuration?.routes ?? [],
            endpointTable,
            overload,
            metrics,
        }),
        overload,
        requestQueues,
    });
    const isReady = (): boolean =>
        !state.isDraining && endpointTable.isKnown() &&
        clock.now() - declarations.current().confirmedAt < bounds().maxAgeForKeysMs;
    const onListenerFault = countListenerFaults(metrics, logger);
    const tunnelEnds = createTunnelEnds(clock);
    const listenToPeers = (): Promise<Server> =>
        startPeerListener({
            address: settings.listen.peers,
            configuration: declarations.raw,
            receiveReport: rollouts.receiveReport,
            streams: streams.answer,
            tunnelEnd: tunnelEnds.endOf,
            closeTunnels: ids => requestAgent.closeTunnels(ids),
            topics: new Map([
                [directory.declarationsTopic, declarations.answer],
                [directory.registryTopic, registry.answer],
            ]),
            onFault: onListenerFault("peers"),
        });
    const [peerListener] = await Promise.all([
        claims.needed(settings.listen.peers, listenToPeers),
        beacons.listening,
    ]);
    peerListener.on("connection", heapBudget.openConnection);
    const tunnels = serveTunnels(peerListener, {
        isEndpoint: address => endpointTable.entryAt(address) !== undefined,
        admit: address => state.isDraining || isFull() ? "unavailable" : connector.admitTunnel(address),
        canJudge: connector.canJudge,
        helpers: connector.helpers,
        onOpened: connector.recordOpened,
        onFailed: connector.recordFailed,
        domainPeers: () => membership.livePeers().filter(peer => peer.failureDomain === settings.failureDomain),
        failureDomain: settings.failureDomain,
        random: Math.random,
        open: parts.open,
        ends: tunnelEnds,
        onClosed: end =>
            metrics.count("azureshunt_tunnel_ends_total", "Tunnels of other VMs, by how they ended.", { end }),
        notifyDrain: (address, ids) => void sendDrainNotice(agent, address, ids),
    });
    state.hasTunnelTo = tunnels.leadsTo;
    byteBudget.addSource(tunnels.heldBytes);
    const observed = { ...sources, availability, streams, connector, tunnels, overload, byteBudget, unreadBodies };
    const stopGauges = startGauges(metrics, observed);
    const outdatedGauges = createOutdatedGauges({ metrics, declaredState: declarations.current, endpointTable });
    const metricsListener = startMetricsListener({
        address: settings.listen.metrics,
        metrics,
        claim: claims.optional,
        logger,
        onFault: onListenerFault("metrics"),
    });
    if (parts.lifecycle !== undefined) {
        await handlePendingSignals(parts.lifecycle.signal);
    }
    const callerServer = await startCallerServer({
        settings,
        claim: claims.needed,
        handler,
        runClaims,
        callerWire: parts.callerWire,
        limits: () => declarations.current().configuration?.limits,
        isReady,
        onConnection: each => [overload.recordAccepted, heapBudget.openConnection].forEach(tell => tell(each)),
        maxDescriptors: maxDescriptors(),
        ...connectionCounters(metrics),
        memoryMb: () => state.settings.memoryMb,
        hasRoom: () => byteBudget.hasRoom() && heapBudget.readsConnections(),
        keepsIdle: heapBudget.hasRoom,
        drainLog: createDrainLog(metrics, logger),
        onFault: onListenerFault("callers"),
    });
    const agents = [agent, requestAgent];
    registerHeapParts(heapWatch, requestParts({ ...observed, agents, callerServer, requestQueues }));
    const announcing = startAnnouncing({
        clock,
        store: countCalls("vms", "recorded", "record"),
        self: {
            vm: settings.vm,
            address: settings.listen.peers,
            failureDomain: settings.failureDomain,
            capacity: settings.capacity,
        },
        isFirstStart: settings.isFirstStart,
        membership,
        logger,
    });
    const stopTicks = startTicks({
        intervalMs: TICK_MS,
        first: [pauses, tickLag, overload, heapWatch],
        afterReads: [
            byteBudget,
            heapBudget,
            quarantine,
            membership,
            orders,
            outdatedGauges,
            rollouts,
            streams,
            announcing,
        ],
    });
    logger.info({ listen: settings.listen }, "Started.");

    const drainMs = (): Millis => state.settings.stopMs - stopMarginMs;
    /** In the order in which they stop. */
    const managedParts: readonly ManagedPart[] = [
        { name: "callers", drain: () => callerServer.drain(drainMs()) },
        { name: "tunnels", drain: () => tunnels.drain(drainMs()), stop: () => closeTunnels(tunnels, logger) },
        { name: "beacons", stop: beacons.stop },
        { name: "registry", stop: registry.stop },
        { name: "declarations", stop: declarations.stop },
        { name: "ticks", stop: stopTicks },
        { name: "gauges", stop: () => [stopGauges, outdatedGauges.stop].forEach(stop => stop()) },
        { name: "queues", stop: requestQueues.stop },
        {
            name: "peers",
            stop: () => {
                peerListener.close();
                peerListener.closeAllConnections();
            },
        },
        { name: "metrics", stop: metricsListener.stop },
        { name: "calls", stop: () => agents.forEach(each => each.destroy()) },
    ];
    return createRouter({ settings, state, managedParts, requestQueues, callerServer, logger });
}
