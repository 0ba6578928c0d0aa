import type { ServiceName } from "@azureshunt/core";

import type { Route } from "./Route.js";

/**
 * Chooses the service for one request so that over many requests each target gets its share.
 *
 * @param draw random number, uniform in [0, 1)
 * @returns undefined if no target has a weight above 0
 */
export function chooseService(route: Route, draw: number): ServiceName | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    const point = { remaining: draw * total };
    return route.targets.find(target => {
        point.remaining -= target.weight;
        return point.remaining < 0;
    })?.service ?? route.targets.find(target => target.weight > 0)?.service;
}
