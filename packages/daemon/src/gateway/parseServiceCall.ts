import type { IncomingMessage } from "node:http";

import type { OrganisationId, Refusal, ServiceName } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { ServiceCall } from "../ports/ServiceCall.js";

const PREFIX = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e][\x20-\x7e]{0,254}$/;
const DOT_SEGMENT = /(^|[/\\])\.{1,2}([/\\]|$)/;

/** A path in the one form that routes are matched with and that goes to the service. */
type ServicePath = { readonly sent: string; readonly decoded: string; };

/**
 * Brings a path into one form.
 *
 * Failure: a path such as `/lookup/..%2Fbookings` matches a route that may be repeated, and the service or a library on
 * the way makes `/bookings` of it, which then runs twice. Guard: routes are matched with the decoded form of exactly
 * what is sent, and a path that still holds a dot segment is refused.
 */
const servicePath = (raw: string, query: string): ServicePath | undefined => {
    try {
        const { pathname, search } = new URL(`http://service${raw}${query}`);
        const decoded = decodeURIComponent(pathname);
        return DOT_SEGMENT.test(decoded) ? undefined : { sent: `${pathname}${search}`, decoded };
    }
    catch {
        return undefined;
    }
};

/**
 * Resolves a call to a plain service against the configuration.
 *
 * @returns Left with `unknown-service`, `not-allowed` or `bad-request`
 */
export function parseServiceCall(
    cfg: Configuration,
    organisation: OrganisationId,
    req: IncomingMessage,
    body: Uint8Array,
): Either<Refusal, ServiceCall> {
    const match = PREFIX.exec(req.url ?? "");
    const spec = cfg.services.get(match?.[1] as ServiceName);
    if (match === null || spec === undefined) {
        return Left(refusalOf("unknown-service"));
    }
    const path = servicePath(match[2] ?? "/", match[3] ?? "");
    if (path === undefined) {
        return Left(refusalOf("bad-request", "The path is not valid, or holds a dot segment."));
    }
    if (cfg.organisations.get(organisation)?.services?.includes(spec.name) === false) {
        return Left(refusalOf("not-allowed"));
    }
    const idempotencyKey = req.headers["idempotency-key"];
    if (idempotencyKey !== undefined && !IDEMPOTENCY_KEY.test(String(idempotencyKey))) {
        return Left(refusalOf("bad-request", "The idempotency key is not 1 to 255 printable characters."));
    }
    const method = req.method ?? "GET";
    const route = spec.routes.find(candidate =>
        candidate.methods.includes(method) && path.decoded.startsWith(candidate.pathPrefix)
    );
    return Right({
        kind: "service",
        service: spec.name,
        method,
        path: path.sent,
        repeatable: route?.repeatable ?? false,
        idempotencyKey: idempotencyKey === undefined ? undefined : String(idempotencyKey),
        contentType: req.headers["content-type"],
        body,
    });
}
