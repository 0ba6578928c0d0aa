import type { ServiceName } from "@azureshunt/core";

import type { Route } from "./Route.js";

/** Returns the services to which routes of different priority lead. */
export function servicesWithPriorities(
    routes: readonly Pick<Route, "targets" | "priority">[],
): ReadonlySet<ServiceName> {
    const rows = routes.flatMap(({ targets, priority }) => targets.map(({ service }) => ({ service, priority })));
    const first = new Map(rows.map(({ service, priority }) => [service, priority]));
    return new Set(
        rows.filter(({ service, priority }) => first.get(service) !== priority).map(({ service }) => service),
    );
}
