import { type Refusal, refusalOf } from "@azureshunt/core";
import { type Either, Left, Right } from "purify-ts";

import type { AdminRoute } from "./AdminRoute.js";
import { adminRoutes } from "./adminRoutes.js";

/** A route that matches a request, with the named parts of its path. */
type FoundRoute = {
    readonly route: AdminRoute;
    readonly params: Readonly<Record<string, string>>;
};

const decoded = (part: string): string | undefined => {
    try {
        return decodeURIComponent(part);
    }
    catch {
        return undefined;
    }
};

const paramsOf = (pattern: string, path: string): Readonly<Record<string, string>> | undefined => {
    const [wanted, found] = [pattern.split("/"), path.split("/").map(decoded)];
    const isMatch = wanted.length === found.length
        && wanted.every((part, i) => part.startsWith("{") ? Boolean(found[i]) : part === found[i]);
    if (!isMatch) {
        return undefined;
    }
    const named = wanted.flatMap((part, i) => part.startsWith("{") ? [[part.slice(1, -1), found[i] ?? ""]] : []);
    return Object.fromEntries(named) as Record<string, string>;
};

/** Finds the route of a request: Left with `not-found`, or `method-not-allowed` where only the method is wrong. */
export function findRoute(method: string, path: string): Either<Refusal, FoundRoute> {
    const matches = adminRoutes.flatMap(route => {
        const params = paramsOf(route.path, path);
        return params === undefined ? [] : [{ route, params }];
    });
    const found = matches.find(({ route }) => route.method === method);
    if (found !== undefined) {
        return Right(found);
    }
    return Left(refusalOf(matches.length === 0 ? "not-found" : "method-not-allowed"));
}
