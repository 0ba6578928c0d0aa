import { refusalOf } from "@azureshunt/core";
import type { Millis, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { findRoute } from "../configuration/findRoute.js";
import type { Organisation } from "../configuration/Organisation.js";
import type { Route } from "../configuration/Route.js";
import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { Knowledge } from "../knowledge/Knowledge.js";
import type { CallerRequest } from "../ports/CallerRequest.js";
import type { FreshnessBounds } from "./FreshnessBounds.js";

/** A request that may be served, by which route and for whom. */
type Admission = { readonly route: Route; readonly organisation: Organisation | undefined; };

type Question = {
    readonly knowledge: Knowledge;
    readonly request: Pick<CallerRequest, "host" | "target" | "key">;
    readonly arrivedAt: Millis;
    readonly bounds: FreshnessBounds;
};

/**
 * Failure: this VM is cut off and has not heard of a route or key that was added; it would tell its callers for good
 * that there is none. Guard: such an answer needs a configuration that was just confirmed; otherwise the caller is told
 * to come back.
 */
const denied = (question: Question, kind: "not-found" | "missing-key" | "unknown-key"): Refusal => {
    const { knowledge, arrivedAt, bounds } = question;
    const isBehind = knowledge.heardRevision > (knowledge.configuration?.revision ?? -1);
    const isFresh = arrivedAt - knowledge.confirmedAt <= bounds.denialMs;
    return refusalOf(isFresh && !isBehind ? kind : "configuration-too-old");
};

/**
 * Failure: a key is withdrawn while this VM cannot learn of it, and its holder goes on. Guard: a request with a key runs
 * only if the configuration was the newest one a short time before the request came. The time counts from its arrival:
 * what was sent before a withdrawal may run.
 */
const ownerOf = (question: Question, cfg: RoutingConfiguration): Either<Refusal, Organisation | undefined> => {
    const { knowledge, request, arrivedAt, bounds } = question;
    if (arrivedAt - knowledge.confirmedAt > bounds.keysMs) {
        return Left(refusalOf("configuration-too-old"));
    }
    const id = request.key === undefined ? undefined : cfg.ownerOfKey.get(request.key);
    const organisation = id === undefined ? undefined : cfg.organisations.get(id);
    return organisation === undefined
        ? Left(denied(question, request.key === undefined ? "missing-key" : "unknown-key"))
        : Right(organisation);
};

/** Decides by which route and for which organisation a request is served, or why it is not. */
export function admitRequest(question: Question): Either<Refusal, Admission> {
    const cfg = question.knowledge.configuration;
    if (cfg === undefined) {
        return Left(refusalOf("no-configuration"));
    }
    const route = findRoute(cfg.routes, question.request.host, question.request.target);
    if (route === undefined) {
        return Left(denied(question, "not-found"));
    }
    return cfg.needsKeys && !route.isPublic
        ? ownerOf(question, cfg).map(organisation => ({ route, organisation }))
        : Right({ route, organisation: undefined });
}
