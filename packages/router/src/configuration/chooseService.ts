import type { ServiceName } from "@azureshunt/core";

import type { Route } from "./Route.js";

/**
 * Chooses the service of one request, so that over many requests each target gets its share.
 *
 * @param draw evenly distributed from 0 up to 1
 */
export function chooseService(route: Route, draw: number): ServiceName | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    const point = { left: draw * total };
    return route.targets.find(target => {
        point.left -= target.weight;
        return point.left < 0;
    })?.service ?? route.targets.find(target => target.weight > 0)?.service;
}
