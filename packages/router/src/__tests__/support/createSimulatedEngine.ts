import type { Millis, ModelName } from "@azureshunt/core";

import type { CallResult } from "../../dispatch/CallResult.js";
import type { EncodedCall } from "../../ports/EncodedCall.js";
import type { EngineReport } from "../../ports/EngineReport.js";
import type { WeightsOrder } from "../../ports/WeightsOrder.js";
import type { createVirtualTime } from "./createVirtualTime.js";

/** An order that an engine accepted. */
type AcceptedOrder = WeightsOrder & { readonly at: Millis; readonly bornAt: number; readonly before: number; };

/** What becomes of an order on its way: it is answered, or it is lost and carried out after `delayMs`. */
type OrderFate = { readonly kind: "answered" | "lost"; readonly delayMs: Millis; };

type SimulatedEngineParts = {
    readonly time: ReturnType<typeof createVirtualTime>;
    readonly models: readonly ModelName[];
    readonly loadMs: Millis;
    readonly reportLagMs: Millis;
    readonly fateOf: (order: WeightsOrder) => OrderFate;
};

type SimulatedEngine = {
    readonly call: (call: EncodedCall) => Promise<CallResult>;
    /** Ends the process and starts another one under the same name after `downMs`. */
    readonly restart: (downMs: Millis) => void;
    readonly report: () => EngineReport;
    readonly isUp: () => boolean;
    readonly accepted: readonly AcceptedOrder[];
    /** Orders that were answered as another one was in progress, or more had been accepted than expected. */
    readonly conflicts: () => number;
};

const OK = 200;
const ACCEPTED = 202;
const CONFLICT = 409;
const ROUND_TRIP_MS = 4;
/** Start of the first process, in milliseconds before the time at which the clock starts. */
const FIRST_START = -20_000;

/**
 * Creates an engine that accepts one order at a time, checks the expected count of accepted orders, and carries out a
 * lost order later, even if it has started again under its name in the meantime. Bodies are JSON of `WeightsOrder` and
 * of the rows of `EngineReport`.
 */
export function createSimulatedEngine(parts: SimulatedEngineParts): SimulatedEngine {
    const { time } = parts;
    const accepted: AcceptedOrder[] = [];
    const state = { isUp: true, bornAt: FIRST_START, count: 0, isBusy: false, conflicts: 0 };
    const versions = new Map(parts.models.map(model => [model, 1]));
    const history: (EngineReport & { readonly at: Millis; })[] = [];

    const current = (): EngineReport => ({
        versions: new Map(versions),
        isBusy: state.isBusy,
        ordersTaken: state.count,
        bornAt: state.bornAt,
    });
    const remember = (): void => void history.push({ ...current(), at: time.clock.now() });
    remember();
    /** Reports lag behind, but hold nothing of an earlier process. */
    const report = (): EngineReport => {
        const asOf = time.clock.now() - parts.reportLagMs;
        const own = history.filter(({ bornAt }) => bornAt === state.bornAt);
        return own.findLast(({ at }) => at <= asOf) ?? own[0] ?? current();
    };

    const carryOut = (order: WeightsOrder): number => {
        if (state.isBusy || order.ordersTaken !== state.count) {
            return CONFLICT;
        }
        const before = versions.get(order.model) ?? 0;
        if (order.version === before) {
            return OK;
        }
        accepted.push({ ...order, at: time.clock.now(), bornAt: state.bornAt, before });
        state.count += 1;
        state.isBusy = true;
        remember();
        const { bornAt } = state;
        time.schedule(parts.loadMs, () => {
            if (state.bornAt === bornAt && state.isUp) {
                versions.set(order.model, order.version);
                state.isBusy = false;
                remember();
            }
        });
        return ACCEPTED;
    };

    const answer = (call: EncodedCall): CallResult => {
        const { versions, ...rest } = report();
        if (call.target === "/report") {
            const body = Buffer.from(JSON.stringify({ ...rest, versions: [...versions] }));
            return { kind: "answer", status: OK, body };
        }
        const order = JSON.parse(call.body.toString()) as WeightsOrder;
        const fate = parts.fateOf(order);
        if (fate.kind === "lost") {
            time.schedule(fate.delayMs, () => state.isUp ? carryOut(order) : undefined);
            return { kind: "lost" };
        }
        const status = carryOut(order);
        state.conflicts += status === CONFLICT ? 1 : 0;
        return { kind: "answer", status, body: Buffer.alloc(0) };
    };

    return {
        call: call =>
            new Promise(resolve => {
                time.schedule(ROUND_TRIP_MS / 2, () => {
                    const result: CallResult = state.isUp ? answer(call) : { kind: "unreached" };
                    time.schedule(ROUND_TRIP_MS / 2, () => resolve(result));
                });
            }),
        restart: downMs => {
            state.isUp = false;
            time.schedule(downMs, () => {
                state.isUp = true;
                state.isBusy = false;
                state.count = 0;
                state.bornAt = Math.ceil(time.clock.epoch());
                remember();
            });
        },
        report: current,
        isUp: () => state.isUp,
        accepted,
        conflicts: () => state.conflicts,
    };
}
