import { type Refusal, refusalOf } from "@azureshunt/core";
import { type Either, Left, Right } from "purify-ts";

import type { AdminRoute } from "./AdminRoute.js";
import { adminRoutes } from "./adminRoutes.js";

/** A route that matches a request, with the values of its path parameters. */
type MatchedRoute = {
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
    const [patternParts, pathParts] = [pattern.split("/"), path.split("/").map(decoded)];
    const isMatch = patternParts.length === pathParts.length
        && patternParts.every((part, i) => part.startsWith("{") ? Boolean(pathParts[i]) : part === pathParts[i]);
    if (!isMatch) {
        return undefined;
    }
    const entries = patternParts.flatMap((part, i) =>
        part.startsWith("{") ? [[part.slice(1, -1), pathParts[i] ?? ""]] : []
    );
    return Object.fromEntries(entries) as Record<string, string>;
};

/** Finds the route of a request; Left `method-not-allowed` if another method has that path, else `not-found`. */
export function findRoute(method: string, path: string): Either<Refusal, MatchedRoute> {
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
