import type { Clock, EndpointName, Millis, ModelName, Tokens, VmId } from "@azureshunt/core";
import type { Logger } from "pino";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { Knowledge } from "../knowledge/Knowledge.js";
import type { EndpointBook } from "../placement/EndpointBook.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { StorePort } from "../ports/StorePort.js";
import { newOrderLease } from "./newOrderLease.js";
import { orderFence } from "./orderFence.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEffect } from "./OrderLeaseEffect.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";
import { planWave } from "./planWave.js";
import { stepOrderLease } from "./stepOrderLease.js";

type OrderParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly store: StorePort;
    readonly book: EndpointBook;
    readonly agent: EndpointAgent;
    readonly wire: EndpointWire;
    readonly knowledge: () => Knowledge;
    readonly logger: Logger;
    readonly checkPause: () => void;
    /** How long an engine's last order binds it to its giver. */
    readonly leaseMs: () => Millis;
    /** How many VMs go before this one in claiming the lease, given who held it last. */
    readonly rank: (lastHolder: VmId | undefined) => number;
    /** Engines whose weights were replaced longer ago get no requests. */
    readonly servesForMs: () => Millis;
    /** Prompt tokens that callers send in a millisecond, to all VMs. */
    readonly demand: () => Tokens;
    /** Tells the other VMs at once which engines were ordered. */
    readonly tellPeers: () => void;
};

/** Gives orders to engines while this VM holds the lease. */
type Orders = {
    readonly tell: (event: OrderLeaseEvent) => void;
    readonly lease: () => OrderLease;
    readonly stop: () => void;
};

const TOPIC = "azureshunt.order-lease";
const TICK_MS = 100;
/** An order's answer comes within some round trips; one without is taken as lost. */
const ORDER_ANSWER_MS = 600;
/** A load takes no less than this; asking earlier costs calls for nothing. */
const FIRST_REPORT_MS = 650;
const NEXT_REPORT_MS = 120;
const ACCEPTED = 202;
const HOLDS_ALREADY = 200;
const CONFLICT = 409;

/** Runs the order lease and, while it is held, brings all engines to the newest named weights. */
export function startOrders(parts: OrderParts): Orders {
    const { clock, book, store, knowledge, logger } = parts;
    const held = { lease: newOrderLease(parts.vm) };
    const reporting = new Set<EndpointName>();

    const tell: Orders["tell"] = event => {
        const step = stepOrderLease(held.lease, event, parts.leaseMs(), clock.now());
        held.lease = step.state;
        step.effects.forEach(effect => void perform(effect));
    };

    const perform = async (effect: OrderLeaseEffect): Promise<void> => {
        if (effect.kind === "read") {
            const page = await store.read(TOPIC, (held.lease.tail?.offset ?? -1) + 1, 0);
            page.caseOf({
                Left: failure => {
                    if (failure.kind === "expired") {
                        // Older records are gone, so nobody holds by them; the end is where the oldest kept one lies.
                        tell({ kind: "read", records: [], end: failure.first });
                        return;
                    }
                    tell({ kind: "unsure" });
                },
                Right: ({ records, end }) => {
                    const known = records.map(({ offset, value }) => ({
                        offset,
                        holder: (value?.toString("utf8") ?? "") as VmId,
                    }));
                    tell({ kind: "read", records: known, end });
                },
            });
            return;
        }
        const askedAt = clock.now();
        const appended = await store.appendAt(TOPIC, effect.at, Buffer.from(parts.vm));
        parts.checkPause();
        appended.caseOf({
            Left: failure => {
                logger.info({ failure: failure.kind, at: effect.at }, "Order lease not taken.");
                tell({ kind: "unsure" });
            },
            Right: offset => {
                tell({ kind: "appended", offset, askedAt });
                work();
            },
        });
    };

    const wanted = (): readonly (readonly [ModelName, number])[] =>
        [...knowledge().weights]
            .flatMap(([model, [named]]) => named === undefined ? [] : [[model, named.version] as const])
            .filter(([model, version]) => book.engines(model).some(engine => engine.version < version));

    /**
     * Follows an order until the engine holds the weights, or until it shows that it has not taken the order.
     *
     * @param ordersBefore orders that the engine was thought to have accepted before this one
     */
    const report = async (
        endpoint: EndpointName,
        model: ModelName,
        version: number,
        ordersBefore: number,
    ): Promise<void> => {
        const entry = book.entryOf(endpoint);
        const res = entry === undefined
            ? undefined
            : await callOnce(parts.agent, entry.address, parts.wire.reportCall, ORDER_ANSWER_MS);
        const state = res?.kind === "answer" && res.status === HOLDS_ALREADY
            ? parts.wire.decodeReport(res.body)
            : undefined;
        const seen = state?.versions.get(model);
        if (seen !== undefined) {
            book.sawWeights(endpoint, seen, state?.ordersTaken);
        }
        if (state?.isBusy === true) {
            book.ordered(endpoint, { version, sentAt: clock.now(), isOwn: true });
        }
        // Another count than the order expected, and nothing under way: the order is void and was not the last word.
        if (state !== undefined && !state.isBusy && (seen ?? 0) < version && state.ordersTaken !== ordersBefore) {
            book.ordered(endpoint, undefined);
        }
        const order = book.engines(model).find(engine => engine.endpoint === endpoint)?.order;
        if (order === undefined || order.version !== version) {
            reporting.delete(endpoint);
            logger.info({ endpoint, model, version: seen }, "Order ended.");
            parts.tellPeers();
            work();
            return;
        }
        setTimeout(() => void report(endpoint, model, version, ordersBefore), NEXT_REPORT_MS);
    };

    const order = async (endpoint: EndpointName, model: ModelName, version: number): Promise<void> => {
        const entry = book.entryOf(endpoint);
        const engine = book.engines(model).find(each => each.endpoint === endpoint);
        parts.checkPause();
        const fence = orderFence(held.lease, clock.now());
        if (entry === undefined || engine === undefined || fence === undefined) {
            return;
        }
        const { ordersTaken } = engine;
        book.ordered(endpoint, { version, sentAt: clock.now(), isOwn: true });
        parts.tellPeers();
        const call = parts.wire.encodeOrder({ endpoint, model, version, holder: parts.vm, fence, ordersTaken });
        const res = await callOnce(parts.agent, entry.address, call, ORDER_ANSWER_MS);
        const status = res.kind === "answer" ? res.status : undefined;
        logger.info({ endpoint, model, version, fence, ordersTaken, status, answer: res.kind }, "Order given.");
        if (status === HOLDS_ALREADY) {
            book.sawWeights(endpoint, version);
            return;
        }
        if (res.kind === "unreached") {
            book.unreached(endpoint);
        }
        if (res.kind === "unreached" || (status !== undefined && status !== ACCEPTED && status !== CONFLICT)) {
            book.ordered(endpoint, undefined);
            return;
        }
        if (!reporting.has(endpoint)) {
            reporting.add(endpoint);
            // After a conflict the engine's own count of orders has to be learnt before it can be ordered again.
            const wait = status === CONFLICT ? 0 : FIRST_REPORT_MS;
            setTimeout(() => void report(endpoint, model, version, ordersTaken), wait);
        }
    };

    const work = (): void => {
        if (orderFence(held.lease, clock.now()) === undefined) {
            return;
        }
        wanted().forEach(([model, version]) =>
            planWave({
                engines: book.engines(model),
                version,
                servesForMs: parts.servesForMs(),
                demand: parts.demand(),
            }).forEach(endpoint => void order(endpoint, model, version))
        );
    };

    const timer = setInterval(() => {
        const isWanted = wanted().length > 0;
        tell({ kind: "tick", isWanted, rank: parts.rank(held.lease.tail?.holder) });
        if (isWanted) {
            work();
        }
    }, TICK_MS);
    return { tell, lease: () => held.lease, stop: () => clearInterval(timer) };
}
