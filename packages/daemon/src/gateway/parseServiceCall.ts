import type { IncomingMessage } from "node:http";

import type { OrganisationId, Refusal, ServiceName } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { ServiceCall } from "../ports/ServiceCall.js";

const PREFIX = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e][\x20-\x7e]{0,254}$/;
const DOT_SEGMENT = /(^|\/)(\.|%2e){1,2}(\/|$)/i;

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
    const path = match[2] ?? "/";
    // `..` would let a path pass for a repeatable route and reach another one at the service.
    if (DOT_SEGMENT.test(path)) {
        return Left(refusalOf("bad-request", "The path holds a dot segment."));
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
        candidate.methods.includes(method) && path.startsWith(candidate.pathPrefix)
    );
    return Right({
        kind: "service",
        service: spec.name,
        method,
        path: `${path}${match[3] ?? ""}`,
        repeatable: route?.repeatable ?? false,
        idempotencyKey: idempotencyKey === undefined ? undefined : String(idempotencyKey),
        contentType: req.headers["content-type"],
        body,
    });
}
