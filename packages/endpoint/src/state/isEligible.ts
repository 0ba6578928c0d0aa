import type { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";

/** Weights that an endpoint must hold to run a request. */
type WantedWeights = {
    readonly model: ModelName;
    readonly adapter: AdapterName | undefined;
    readonly version: WeightsVersion;
};

/**
 * Returns whether an endpoint may get new work.
 *
 * @param wanted weights that the request needs; undefined for plain services
 */
export function isEligible(state: EndpointState, wanted: WantedWeights | undefined): boolean {
    if (state.leaving || state.health !== "up" || !state.ready) {
        return false;
    }
    return wanted === undefined ||
        state.holds.some(held =>
            held.model === wanted.model && held.adapter === wanted.adapter && held.version === wanted.version
        );
}
