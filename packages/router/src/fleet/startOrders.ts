import type { Clock, EndpointName, Millis, ModelName, Tokens, VmId } from "@azureshunt/core";
import type { Logger } from "pino";

import type { DeclaredState } from "../knowledge/DeclaredState.js";
import type { TargetRow } from "../knowledge/TargetRow.js";
import { targetRowsOf } from "../knowledge/targetRowsOf.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { EngineReport } from "../ports/EngineReport.js";
import type { StorePort } from "../ports/StorePort.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createLeaseKeeper } from "./createLeaseKeeper.js";
import { createUnansweredOrders } from "./createUnansweredOrders.js";
import type { EngineCalls } from "./EngineCalls.js";
import type { EngineStart } from "./EngineStart.js";
import type { EngineWeights } from "./EngineWeights.js";
import { followOrder } from "./followOrder.js";
import { isOfLaterStart } from "./isOfLaterStart.js";
import { observeReport } from "./observeReport.js";
import { orderAllowedAt } from "./orderAllowedAt.js";
import { orderFence } from "./orderFence.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";
import { orderTiming } from "./orderTiming.js";
import { planWave } from "./planWave.js";
import { requestReport } from "./requestReport.js";
import { rolloutOf } from "./rolloutOf.js";

type OrderParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly store: StorePort;
    readonly endpointTable: EndpointTable;
    readonly calls: EngineCalls;
    readonly wire: EndpointWire;
    readonly declaredState: () => DeclaredState;
    readonly logger: Logger;
    readonly checkSuspension: () => void;
    /** Time for which an engine accepts orders only from the issuer of its last one. */
    readonly leaseMs: () => Millis;
    /** How many VMs may claim the lease before this one, given its last holder. */
    readonly rank: (lastHolder: VmId | undefined) => number;
    /** Engines whose weights were replaced longer ago get no requests. */
    readonly servesForMs: () => Millis;
    /** Prompt tokens per millisecond that callers send to all VMs. */
    readonly demand: () => Tokens;
    /** Whether the lease is needed for anything but orders. */
    readonly isLeaseWanted: () => boolean;
    /** Whether this VM reaches no engines, or none of a service; it then leaves the lease to others. */
    readonly isCutOff: () => boolean;
    /** Called with target weights that an earlier lease holder knew, and the latest time at which their ages applied. */
    readonly onTargets?: (targets: readonly TargetRow[], at: Millis) => void;
    /** Sends the other VMs soon, before the next round, which engines were ordered. */
    readonly sendSoon: () => void;
};

/** Issues orders to engines while this VM holds the lease. */
type Orders = {
    readonly applyLeaseEvent: (event: OrderLeaseEvent) => void;
    readonly lease: () => OrderLease;
    /** Issues due orders; called ten times per second. */
    readonly tick: () => void;
};

const ACCEPTED = 202;
const ALREADY_LOADED = 200;
const CONFLICT = 409;
/** Minimum time between two log lines on the progress of a rollout. */
const ROLLOUT_LOG_INTERVAL_MS: Millis = 1_000;

/**
 * Whether a busy engine may carry out an order for another model than this one: it takes one at a time, and neither its
 * report nor a refusal names the model. If that order counted as this model's, its requests would be kept away.
 */
const isOneOfSeveral = ({ versions }: EndpointEntry, model: ModelName): boolean =>
    [...versions.keys()].some(each => each !== model);

/** Maintains the order lease and, while this VM holds it, brings all engines to the newest target weights. */
export function startOrders(parts: OrderParts): Orders {
    const { clock, endpointTable, declaredState, logger } = parts;
    const unanswered = createUnansweredOrders(clock);

    const wanted = (): readonly (readonly [ModelName, number])[] =>
        [...declaredState().weights]
            .flatMap(([model, [target]]) => target === undefined ? [] : [[model, target.version] as const])
            .filter(([model, version]) => endpointTable.isAnyOutdated(model, version));

    /** Engines on replaced weights, each once. */
    const outdatedEngines = (): readonly EngineStart[] => {
        const outdated = wanted().flatMap(([model, target]) =>
            endpointTable.engines(model).filter(({ version }) => version < target)
        );
        return [...new Map(outdated.map(engine => [engine.endpoint, engine])).values()];
    };
    const keeper = createLeaseKeeper({
        ...parts,
        orderable: outdatedEngines,
        unanswered,
        targets: () => targetRowsOf(declaredState().weights, clock.now()),
        onTargets: (targets, at) => parts.onTargets?.(targets, at),
        onAppended: () => issueDueOrders(),
    });

    const onOrderEnded = (
        { entry, model }: { readonly entry: EndpointEntry; readonly model: ModelName; },
        report: EngineReport | undefined,
    ): void => {
        const { bornAt, ordersTaken } = report ?? {};
        const endpoint = entry.name;
        logger.info({ endpoint, model, version: report?.versions.get(model), bornAt, ordersTaken }, "Order ended.");
        parts.sendSoon();
        issueDueOrders();
    };

    /** Engines whose report is requested for an order. */
    const asked = new Set<EndpointName>();
    /** Engines that are not ordered until a time. */
    const heldUntil = new Map<EndpointName, Millis>();

    /** Returns what an order now has to expect of the engine; `undefined` if it must not be ordered now. */
    const readCount = async (entry: EndpointEntry, model: ModelName, version: number): Promise<number | undefined> => {
        const endpoint = entry.name;
        asked.add(endpoint);
        const result = await requestReport(parts.calls, parts.wire, entry.address).finally(() =>
            asked.delete(endpoint)
        );
        const engine = endpointTable.engines(model).find(each => each.endpoint === endpoint);
        if (result.extract() === "unreached") {
            endpointTable.recordUnreached(endpoint);
            return undefined;
        }
        const report = result.toMaybe().extract();
        const isSameStart = endpointTable.entryOf(endpoint)?.bornAt === entry.bornAt;
        if (report === undefined || engine === undefined || !isSameStart || isOfLaterStart(report, entry)) {
            heldUntil.set(endpoint, clock.now() + orderTiming.retryReportMs);
            return undefined;
        }
        const seen = report.versions.get(model) ?? 0;
        observeReport(endpointTable, endpoint, report);
        if (report.isBusy && isOneOfSeveral(entry, model)) {
            heldUntil.set(endpoint, clock.now() + orderTiming.nextReportMs);
            return undefined;
        }
        const { ordersTaken, bornAt = entry.bornAt } = report;
        const allowedAt = orderAllowedAt({
            bornAt,
            ordersTaken,
            // A report of an earlier start: the engine's wall clock was stepped back between two starts.
            restartedAt: bornAt < entry.bornAt ? clock.now() : engine.restartedAt,
            unanswered: unanswered.to(endpoint),
            ordersKnownSince: keeper.current().ordersKnownSince,
        });
        if (allowedAt > clock.now()) {
            heldUntil.set(endpoint, allowedAt);
            const waitMs = allowedAt - clock.now();
            logger.info(
                { endpoint, model, version, ordersTaken, bornAt: entry.bornAt, waitMs },
                "Order held back: an earlier one may still be carried out.",
            );
            return undefined;
        }
        return seen < version ? ordersTaken : undefined;
    };

    const issueOrder = async (endpoint: EndpointName, model: ModelName, version: number): Promise<void> => {
        const entry = endpointTable.entryOf(endpoint);
        const ordersTaken = entry === undefined ? undefined : await readCount(entry, model, version);
        parts.checkSuspension();
        const fence = orderFence(keeper.current(), clock.now());
        if (
            entry === undefined || ordersTaken === undefined || fence === undefined
            || !keeper.mayOrder({ endpoint, bornAt: entry.bornAt })
        ) {
            return;
        }
        const { bornAt } = entry;
        const issuedAt = clock.now();
        endpointTable.recordOrder(endpoint, { model, version, issuedAt, seenAt: issuedAt, isOwn: true });
        parts.sendSoon();
        const removeUnanswered = unanswered.add({ endpoint, bornAt, ordersTaken });
        const call = parts.wire.encodeOrder({ endpoint, model, version, holder: parts.vm, fence, ordersTaken });
        const res = await parts.calls.call(entry.address, call, orderTiming.answerMs);
        if (res.kind !== "lost") {
            removeUnanswered();
        }
        const status = res.kind === "answer" ? res.status : undefined;
        logger.info({
            endpoint,
            model,
            version,
            fence,
            ordersTaken,
            bornAt,
            status,
            answer: res.kind,
            sentMsAgo: clock.now() - issuedAt,
        }, "Order issued.");
        if (status === ALREADY_LOADED) {
            endpointTable.observeWeights(endpoint, { model, version });
            return;
        }
        if (res.kind === "unreached") {
            endpointTable.recordUnreached(endpoint);
        }
        const isOtherInProgress = status === CONFLICT && isOneOfSeveral(entry, model);
        const isRefused = status !== undefined && status !== ACCEPTED && status !== CONFLICT;
        if (res.kind === "unreached" || isRefused || isOtherInProgress) {
            endpointTable.orderEnded(endpoint, issuedAt);
            return;
        }
        // After a conflict, the engine's own number of accepted orders must be read before it can be ordered again.
        const delayMs = status === CONFLICT ? 0 : orderTiming.firstReportMs;
        const followed = { entry, model, version, issuedAt, ordersBefore: ordersTaken };
        parts.calls.schedule(
            delayMs,
            () => void followOrder(parts, followed, report => onOrderEnded(followed, report)),
        );
    };

    /** An engine whose report is requested counts as ordered, so that no others are ordered in its place. */
    const enginesWithAsked = (model: ModelName, version: number): readonly EngineWeights[] =>
        endpointTable.engines(model).map(engine =>
            asked.has(engine.endpoint)
                ? { ...engine, order: { model, version, issuedAt: clock.now(), seenAt: clock.now(), isOwn: true } }
                : engine
        );

    const issueDueOrders = (): void => {
        if (orderFence(keeper.current(), clock.now()) === undefined) {
            return;
        }
        wanted().forEach(([model, version]) =>
            planWave({
                engines: enginesWithAsked(model, version),
                model,
                version,
                servesForMs: parts.servesForMs(),
                demand: parts.demand(),
                mayOrder: engine =>
                    clock.now() >= (heldUntil.get(engine.endpoint) ?? -Infinity) && keeper.mayOrder(engine),
            }).forEach(endpoint => void issueOrder(endpoint, model, version))
        );
    };

    /** When the progress of rollouts was last logged. */
    const lastLogged = { at: -Infinity };
    const logRollout = (): void => {
        if (
            orderFence(keeper.current(), clock.now()) === undefined
            || clock.now() - lastLogged.at < ROLLOUT_LOG_INTERVAL_MS
        ) {
            return;
        }
        lastLogged.at = clock.now();
        wanted().forEach(([model, version]) =>
            logger.info(
                { model, version, ...rolloutOf(endpointTable.engines(model), { model, version }) },
                "Rollout of weights in progress.",
            )
        );
    };

    const tick = (): void => {
        const hasOrders = wanted().length > 0;
        const isWanted = !parts.isCutOff() && (hasOrders || parts.isLeaseWanted());
        [...heldUntil].filter(([, until]) => until <= clock.now()).forEach(([endpoint]) => heldUntil.delete(endpoint));
        const isHolder = orderFence(keeper.current(), clock.now()) !== undefined;
        const isRenewalDue = isHolder && !outdatedEngines().every(keeper.mayOrder);
        keeper.apply({ kind: "tick", isWanted, rank: parts.rank(keeper.current().tail?.holder), isRenewalDue });
        if (hasOrders) {
            issueDueOrders();
            logRollout();
        }
    };
    return { applyLeaseEvent: keeper.apply, lease: keeper.current, tick };
}
