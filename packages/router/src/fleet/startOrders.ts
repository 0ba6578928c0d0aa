import type { Clock, EndpointName, Millis, ModelName, Tokens, VmId } from "@azureshunt/core";
import type { Logger } from "pino";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { Knowledge } from "../knowledge/Knowledge.js";
import type { EndpointBook } from "../placement/EndpointBook.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { StorePort } from "../ports/StorePort.js";
import { createLeaseKeeper } from "./createLeaseKeeper.js";
import { followOrder } from "./followOrder.js";
import { orderFence } from "./orderFence.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";
import { orderTiming } from "./orderTiming.js";
import { planWave } from "./planWave.js";
import { rolloutOf } from "./rolloutOf.js";

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
    /** Looks for something to order; called ten times a second. */
    readonly tick: () => void;
};

const ACCEPTED = 202;
const HOLDS_ALREADY = 200;
const CONFLICT = 409;
/** Between two lines on how far new weights have come. */
const ROLLOUT_EVERY_MS: Millis = 1_000;

/** Runs the order lease and, while it is held, brings all engines to the newest named weights. */
export function startOrders(parts: OrderParts): Orders {
    const { clock, book, knowledge, logger } = parts;
    const keeper = createLeaseKeeper({ ...parts, onAppended: () => work() });

    const wanted = (): readonly (readonly [ModelName, number])[] =>
        [...knowledge().weights]
            .flatMap(([model, [named]]) => named === undefined ? [] : [[model, named.version] as const])
            .filter(([model, version]) => book.isAnyBehind(model, version));

    const ended = (
        { endpoint, model }: { readonly endpoint: EndpointName; readonly model: ModelName; },
        seen: number | undefined,
    ): void => {
        logger.info({ endpoint, model, version: seen }, "Order ended.");
        parts.tellPeers();
        work();
    };

    const order = async (endpoint: EndpointName, model: ModelName, version: number): Promise<void> => {
        const entry = book.entryOf(endpoint);
        const engine = book.engines(model).find(each => each.endpoint === endpoint);
        parts.checkPause();
        const fence = orderFence(keeper.current(), clock.now());
        if (entry === undefined || engine === undefined || fence === undefined) {
            return;
        }
        const { ordersTaken } = engine;
        const givenAt = clock.now();
        book.ordered(endpoint, { version, givenAt, seenAt: givenAt, isOwn: true });
        parts.tellPeers();
        const call = parts.wire.encodeOrder({ endpoint, model, version, holder: parts.vm, fence, ordersTaken });
        const res = await callOnce(parts.agent, entry.address, call, orderTiming.answerMs);
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
            book.orderOver(endpoint, givenAt);
            return;
        }
        // After a conflict the engine's own count of orders has to be learnt before it can be ordered again.
        const wait = status === CONFLICT ? 0 : orderTiming.firstReportMs;
        const followed = { endpoint, model, version, givenAt, ordersBefore: ordersTaken };
        setTimeout(() => void followOrder(parts, followed, seen => ended(followed, seen)), wait);
    };

    const work = (): void => {
        if (orderFence(keeper.current(), clock.now()) === undefined) {
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

    /** Says how far the weights have come, at most once in a while. */
    const told = { at: -Infinity };
    const tellRollout = (): void => {
        if (orderFence(keeper.current(), clock.now()) === undefined || clock.now() - told.at < ROLLOUT_EVERY_MS) {
            return;
        }
        told.at = clock.now();
        wanted().forEach(([model, version]) =>
            logger.info({ model, version, ...rolloutOf(book.engines(model), version) }, "Weights are not everywhere.")
        );
    };

    const tick = (): void => {
        const isWanted = wanted().length > 0;
        keeper.tell({ kind: "tick", isWanted, rank: parts.rank(keeper.current().tail?.holder) });
        if (isWanted) {
            work();
            tellRollout();
        }
    };
    return { tell: keeper.tell, lease: keeper.current, tick };
}
