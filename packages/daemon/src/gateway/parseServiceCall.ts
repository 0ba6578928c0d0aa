import type { IncomingMessage } from "node:http";

import type { OrganisationId, Refusal, ServiceName } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { ServiceCall } from "../ports/ServiceCall.js";

const SERVICE_URL = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e][\x20-\x7e]{0,254}$/;
const DOT_SEGMENT = /(^|[/\\])\.{1,2}([/\\]|$)/;

/** A normalised path: as sent to the service, and decoded to match routes with. */
type ServicePath = { readonly sent: string; readonly decoded: string; };

/**
 * Returns a path in normalised form; undefined if it is invalid or contains a dot segment.
 *
 * A path such as `/lookup/..%2Fbookings` could match a route that may be repeated, while the service or a library on the
 * way resolves it to `/bookings`, which would then run twice. To prevent this, routes are matched with the decoded form
 * of exactly what is sent, and a path that still contains a dot segment is refused.
 */
const normalisePath = (raw: string, query: string): ServicePath | undefined => {
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
    const match = SERVICE_URL.exec(req.url ?? "");
    const spec = cfg.services.get(match?.[1] as ServiceName);
    if (match === null || spec === undefined) {
        return Left(refusalOf("unknown-service"));
    }
    const path = normalisePath(match[2] ?? "/", match[3] ?? "");
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
