import type { Clock, EndpointName, Millis } from "@azureshunt/core";

import type { EngineOrder } from "../fleet/EngineOrder.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createListeners } from "./createListeners.js";
import type { createObservations } from "./createObservations.js";
import type { EndpointObservations } from "./EndpointObservations.js";
import type { EndpointTable } from "./EndpointTable.js";

type EngineOrdersParts = {
    readonly clock: Clock;
    readonly observations: ReturnType<typeof createObservations>;
    readonly entryOf: EndpointTable["entryOf"];
};

/** The orders for new weights that engines are carrying out. */
type EngineOrders = {
    /** Returns the order that an engine is carrying out; undefined if there is none, or the engine holds its version. */
    readonly at: (entry: EndpointEntry, version: number | undefined) => EngineOrder | undefined;
    readonly record: EndpointTable["recordOrder"];
    readonly end: EndpointTable["orderEnded"];
    readonly onOrdered: EndpointTable["onOrdered"];
    /** Returns this VM's order to an engine as a row of `ownOrders`; empty if there is none. */
    readonly own: (entry: EndpointEntry) => ReturnType<EndpointTable["ownOrders"]>;
};

/** An order not seen for this long counts as lost; the engine is then judged by the weights that it reports. */
const ORDER_LOST_MS = 2_500;

/** How much older an order may seem when it is received again, as a beacon may be delayed on a full link. */
const ORDER_AGE_TOLERANCE_MS: Millis = 500;

const newestOf = ({ versions }: EndpointObservations): number =>
    Math.max(0, ...[...versions.values()].map(({ version }) => version));

/** Creates the orders from what is observed of endpoints. */
export function createEngineOrders({ clock, observations, entryOf }: EngineOrdersParts): EngineOrders {
    const listeners = createListeners<EndpointName>();
    const at: EngineOrders["at"] = (entry, version) => {
        const { order } = observations.of(entry);
        const isOver = order === undefined || (version ?? 0) >= order.version
            || clock.now() - order.seenAt > ORDER_LOST_MS;
        return isOver ? undefined : order;
    };

    const record: EngineOrders["record"] = (endpoint, order) => {
        const entry = entryOf(endpoint);
        if (entry === undefined) {
            return false;
        }
        const observed = observations.of(entry);
        // The time of a peer's order is computed from its age, so the same order may seem a little older or newer.
        const toleranceMs = observed.order?.isOwn === true ? 0 : ORDER_AGE_TOLERANCE_MS;
        // A previous lease holder may still send its last orders; they must not replace those of the current holder.
        if (order.issuedAt < (observed.order?.issuedAt ?? -Infinity) - toleranceMs) {
            return false;
        }
        const isNew = order.version !== observed.order?.version && order.version > newestOf(observed);
        observed.order = order;
        if (isNew) {
            listeners.notify(endpoint);
        }
        return isNew;
    };

    const end: EngineOrders["end"] = (endpoint, issuedAt) => {
        const observed = observations.last(endpoint);
        if (observed?.order?.issuedAt === issuedAt) {
            observed.order = undefined;
        }
    };

    const own: EngineOrders["own"] = entry => {
        const observed = observations.of(entry);
        const { order } = observed;
        return order?.isOwn === true && at(entry, newestOf(observed)) !== undefined
            ? [[entry.name, order.version, clock.now() - order.issuedAt]]
            : [];
    };
    return { at, record, end, onOrdered: listeners.add, own };
}
