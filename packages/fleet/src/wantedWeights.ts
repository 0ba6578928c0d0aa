import type { Configuration, EndpointSpec } from "@azureshunt/release";

import type { Weights } from "./Weights.js";

/** Returns the weights that the configuration declares for an engine: of its models and their adapters. */
export function wantedWeights(cfg: Configuration, endpoint: EndpointSpec): readonly Weights[] {
    return endpoint.models
        .map(name => cfg.models.get(name))
        .filter(model => model !== undefined)
        .flatMap(model =>
            [undefined, ...model.adapters].map(adapter => ({ model: model.name, adapter, version: model.version }))
        );
}
