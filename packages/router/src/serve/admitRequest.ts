import { refusalOf } from "@azureshunt/core";
import type { Millis, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { findRoute } from "../configuration/findRoute.js";
import type { Organisation } from "../configuration/Organisation.js";
import type { Route } from "../configuration/Route.js";
import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { DeclaredState } from "../knowledge/DeclaredState.js";
import type { CallerRequest } from "../ports/CallerRequest.js";
import type { FreshnessBounds } from "./FreshnessBounds.js";

/** Route and organisation of an admitted request; `organisation` is `undefined` if the request needs no key. */
type Admission = { readonly route: Route; readonly organisation: Organisation | undefined; };

type AdmissionQuery = {
    readonly declaredState: DeclaredState;
    readonly request: Pick<CallerRequest, "host" | "target" | "key">;
    readonly arrivedAt: Millis;
    readonly bounds: FreshnessBounds;
};

/**
 * Returns the refusal for a route or key that this VM does not know. If this VM is cut off and has not received a route
 * or key that was added, it would tell its callers for good that there is none. To prevent this, such an answer
 * requires a recently confirmed configuration; otherwise the caller is told to retry.
 */
const denialOf = (query: AdmissionQuery, kind: "not-found" | "missing-key" | "unknown-key"): Refusal => {
    const { declaredState, arrivedAt, bounds } = query;
    const isOutdated = declaredState.newestRevision > (declaredState.configuration?.revision ?? -1);
    const isFresh = arrivedAt - declaredState.confirmedAt <= bounds.maxAgeForDenialMs;
    return refusalOf(isFresh && !isOutdated ? kind : "configuration-too-old");
};

/**
 * Returns the organisation that owns the request's key. If a key is withdrawn while this VM cannot learn of it, its
 * holder could continue to use it. To prevent this, a request with a key runs only if the configuration was confirmed
 * as the newest one shortly before the request arrived. How old it becomes after that does not matter: a request that
 * was sent before a withdrawal may run.
 */
const authenticate = (query: AdmissionQuery, cfg: RoutingConfiguration): Either<Refusal, Organisation | undefined> => {
    const { declaredState, request, arrivedAt, bounds } = query;
    if (arrivedAt - declaredState.confirmedAt > bounds.maxAgeForKeysMs) {
        return Left(refusalOf("configuration-too-old"));
    }
    const id = request.key === undefined ? undefined : cfg.ownerOfKey.get(request.key);
    const organisation = id === undefined ? undefined : cfg.organisations.get(id);
    return organisation === undefined
        ? Left(denialOf(query, request.key === undefined ? "missing-key" : "unknown-key"))
        : Right(organisation);
};

/** Decides by which route and for which organisation a request is served, or why it is refused. */
export function admitRequest(query: AdmissionQuery): Either<Refusal, Admission> {
    const cfg = query.declaredState.configuration;
    if (cfg === undefined) {
        return Left(refusalOf("no-configuration"));
    }
    const route = findRoute(cfg.routes, query.request.host, query.request.target);
    if (route === undefined) {
        return Left(denialOf(query, "not-found"));
    }
    return cfg.needsKeys && !route.isPublic
        ? authenticate(query, cfg).map(organisation => ({ route, organisation }))
        : Right({ route, organisation: undefined });
}
