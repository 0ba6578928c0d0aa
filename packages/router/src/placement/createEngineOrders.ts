import type { Clock, EndpointName, Millis, ModelName } from "@azureshunt/core";

import type { EngineOrder } from "../fleet/EngineOrder.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { createEngineVersions } from "./createEngineVersions.js";
import { createListeners } from "./createListeners.js";
import type { createObservations } from "./createObservations.js";
import type { EndpointTable } from "./EndpointTable.js";
import { modelInRow } from "./modelInRow.js";
import { onlyModelOf } from "./onlyModelOf.js";

type EngineOrdersParts = {
    readonly clock: Clock;
    readonly observations: ReturnType<typeof createObservations>;
    readonly entryOf: EndpointTable["entryOf"];
    readonly versionAt: ReturnType<typeof createEngineVersions>["at"];
};

/** The orders for new weights that engines are carrying out. */
type EngineOrders = {
    /**
     * Returns the order that an engine is carrying out, whichever model it is for; undefined if there is none, or the
     * engine holds its version.
     */
    readonly inProgress: (entry: EndpointEntry) => EngineOrder | undefined;
    /** As `inProgress`, if the order keeps requests for a model from the engine. */
    readonly at: (entry: EndpointEntry, model: ModelName | undefined) => EngineOrder | undefined;
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

/** Names contain no space. */
const keyOf = (endpoint: EndpointName, model: ModelName): string => `${endpoint} ${model}`;

/** Creates the orders from what is observed of endpoints. */
export function createEngineOrders({ clock, observations, entryOf, versionAt }: EngineOrdersParts): EngineOrders {
    const listeners = createListeners<string>();
    const holds = (entry: EndpointEntry, model: ModelName, version: number): boolean =>
        (versionAt(entry, model) ?? 0) >= version;
    const inProgress: EngineOrders["inProgress"] = entry => {
        const { order } = observations.of(entry);
        if (order === undefined || clock.now() - order.seenAt > ORDER_LOST_MS) {
            return undefined;
        }
        const models = order.model === undefined ? [...entry.versions.keys()] : [order.model];
        return models.every(model => holds(entry, model, order.version)) ? undefined : order;
    };
    const at: EngineOrders["at"] = (entry, model) => {
        const order = inProgress(entry);
        if (order === undefined || model === undefined) {
            return order;
        }
        const isConcerned = order.model === undefined ? !holds(entry, model, order.version) : order.model === model;
        return isConcerned ? order : undefined;
    };

    const record: EngineOrders["record"] = (endpoint, received) => {
        const entry = entryOf(endpoint);
        if (entry === undefined) {
            return false;
        }
        const model = received.model ?? onlyModelOf(entry);
        const order = { ...received, model };
        const observed = observations.of(entry);
        // The time of a peer's order is computed from its age, so the same order may seem a little older or newer.
        const toleranceMs = observed.order?.isOwn === true ? 0 : ORDER_AGE_TOLERANCE_MS;
        // A previous lease holder may still send its last orders; they must not replace those of the current holder.
        if (order.issuedAt < (observed.order?.issuedAt ?? -Infinity) - toleranceMs) {
            return false;
        }
        const isRepeated = order.version === observed.order?.version && model === observed.order.model;
        const known = model === undefined ? 0 : observed.versions.get(model)?.version ?? 0;
        const isNew = !isRepeated && order.version > known;
        observed.order = order;
        // Streams stay if it is not known whose weights are to change: their engine may go on with them.
        if (isNew && model !== undefined) {
            listeners.notify(keyOf(endpoint, model));
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
        const order = inProgress(entry);
        return order?.isOwn === true
            ? [[entry.name, order.version, clock.now() - order.issuedAt, ...modelInRow(entry, order.model)]]
            : [];
    };
    const onOrdered: EngineOrders["onOrdered"] = (endpoint, model, listener) =>
        listeners.add(keyOf(endpoint, model), listener);
    return { inProgress, at, record, end, onOrdered, own };
}
