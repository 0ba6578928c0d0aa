import type { Route } from "./Route.js";

const pathOf = (target: string): string => {
    const query = target.indexOf("?");
    return query < 0 ? target : target.slice(0, query);
};

/**
 * Finds the route of a request: among the routes of its host, the one with the longest matching path prefix.
 *
 * @param host value of the `Host` header
 * @param target path and query, as sent
 * @returns undefined if no route matches
 */
export function findRoute(routes: readonly Route[], host: string, target: string): Route | undefined {
    const path = pathOf(target);
    const name = host.toLowerCase();
    return routes
        .filter(route => route.host === name && path.startsWith(route.pathPrefix))
        .reduce<Route | undefined>(
            (best, route) => best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best,
            undefined,
        );
}
