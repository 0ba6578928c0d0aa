import type { ModelName } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";

import type { DeclaredState } from "../knowledge/DeclaredState.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import { rolloutOf } from "./rolloutOf.js";

type GaugeParts = {
    readonly metrics: Pick<Metrics, "gauge">;
    readonly declaredState: () => DeclaredState;
    readonly endpointTable: Pick<EndpointTable, "engines">;
};

type OutdatedGauges = {
    /** Registers the gauges of models for which target weights have been declared since the last call. */
    readonly tick: () => void;
    readonly stop: () => void;
};

/** Creates a gauge for each model: how many of its engines hold older weights than the target, as this VM knows. */
export function createOutdatedGauges({ metrics, declaredState, endpointTable }: GaugeParts): OutdatedGauges {
    const registered = new Map<ModelName, () => void>();
    const outdated = (model: ModelName): number => {
        const version = declaredState().weights.get(model)?.[0]?.version ?? 0;
        return rolloutOf(endpointTable.engines(model), { model, version }).outdated;
    };
    return {
        tick: () =>
            [...declaredState().weights.keys()].filter(model => !registered.has(model)).forEach(model => {
                const help = "Engines of a model that hold older weights than its target.";
                const unregister = metrics.gauge("azureshunt_outdated_engines", help, () => outdated(model), { model });
                registered.set(model, unregister);
            }),
        stop: () => registered.forEach(unregister => unregister()),
    };
}
