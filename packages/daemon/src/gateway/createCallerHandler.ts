import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { Refusal, RequestId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { readBody } from "@azureshunt/http";
import type { Call } from "../ports/Call.js";
import type { Caller } from "./Caller.js";
import { firstValue } from "./firstValue.js";
import type { GatewayParts } from "./GatewayParts.js";
import { listModels } from "./listModels.js";
import { parseModelCall } from "./parseModelCall.js";
import { parseServiceCall } from "./parseServiceCall.js";
import { sendRefusal } from "./sendRefusal.js";
import { serveModel } from "./serveModel.js";
import { serveService } from "./serveService.js";

const MODEL_PATHS: readonly string[] = ["/v1/chat/completions", "/v1/completions"];
const MODELS_PATH = "/v1/models";
const SERVICES_PREFIX = "/v1/services/";
const JSON_TYPE = /^application\/json\b/i;
const DEFAULT_PRIORITY = 5;
const PRIORITY = /^[0-9]$/;
const DEADLINE_MS = /^[1-9][0-9]{0,6}$/;

/** A request with a valid key. */
type AuthenticatedRequest = { readonly cfg: Configuration; readonly caller: Caller; readonly id: RequestId; };

/**
 * Creates a handler of callers' requests. Each request ends in an answer or in a refusal of a known kind.
 *
 * @param isRefusing returns whether all requests are refused, as the daemon stops
 */
export function createCallerHandler(
    parts: GatewayParts,
    isRefusing: () => boolean,
): (req: IncomingMessage, res: ServerResponse) => void {
    const { ctx } = parts.dispatch;
    const logger = ctx.logger("gateway");
    const { limits } = ctx.settings;

    const isTooStale = (cfg: Configuration, caller: Caller): boolean => {
        const bound = cfg.organisations.get(caller.organisation)?.maxStalenessSeconds;
        return bound !== undefined && ctx.release.staleness() > bound * 1_000;
    };

    const authenticate = (req: IncomingMessage, id: RequestId): Either<Refusal, AuthenticatedRequest> => {
        const cfg = ctx.release.current();
        if (isRefusing()) {
            return Left(refusalOf("shutting-down"));
        }
        if (cfg === undefined) {
            return Left(refusalOf("no-configuration"));
        }
        return parts.authenticate(cfg, req.headers.authorization)
            .chain(caller =>
                isTooStale(cfg, caller) ? Left(refusalOf("configuration-too-old")) : Right({ cfg, caller, id })
            );
    };

    const callOf = (
        authenticated: AuthenticatedRequest,
        req: IncomingMessage,
        res: ServerResponse,
        target: Call["target"],
    ): Call => {
        const now = ctx.clock.now();
        const deadline = firstValue(req.headers["x-deadline-ms"]) ?? "";
        const priority = firstValue(req.headers["x-priority"]) ?? "";
        parts.dispatch.trace.add(authenticated.id, "arrived", {
            organisation: authenticated.caller.organisation,
            target: target.kind,
        });
        const disconnected = new AbortController();
        res.once("close", () => disconnected.abort());
        return {
            id: authenticated.id,
            organisation: authenticated.caller.organisation,
            keyId: authenticated.caller.keyId,
            arrivedAt: now,
            deadline: now + (DEADLINE_MS.test(deadline) ? Number(deadline) : limits.deadlineMs),
            priority: PRIORITY.test(priority) ? Number(priority) : DEFAULT_PRIORITY,
            target,
            signal: disconnected.signal,
        };
    };

    const serveModelPath = async (
        authenticated: AuthenticatedRequest,
        path: string,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<Either<Refusal, void>> => {
        if (req.method !== "POST") {
            return Left(refusalOf("method-not-allowed"));
        }
        if (!JSON_TYPE.test(req.headers["content-type"] ?? "")) {
            return Left(refusalOf("unsupported-media-type"));
        }
        const body = await readBody(req, limits.bodyBytes);
        const target = body.chain(bytes =>
            parseModelCall(authenticated.cfg, authenticated.caller.organisation, parts.versionOf, path, bytes)
        );
        return target.caseOf<Promise<Either<Refusal, void>>>({
            Left: refusal => Promise.resolve(Left(refusal)),
            Right: model => serveModel(parts, callOf(authenticated, req, res, model), model, res),
        });
    };

    const servePlainService = async (
        authenticated: AuthenticatedRequest,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<Either<Refusal, void>> => {
        const body = await readBody(req, limits.bodyBytes);
        const target = body.chain(bytes =>
            parseServiceCall(authenticated.cfg, authenticated.caller.organisation, req, bytes)
        );
        return target.caseOf<Promise<Either<Refusal, void>>>({
            Left: refusal => Promise.resolve(Left(refusal)),
            Right: service =>
                serveService(parts, authenticated.cfg, callOf(authenticated, req, res, service), service, res),
        });
    };

    const route = (
        authenticated: AuthenticatedRequest,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<Either<Refusal, void>> => {
        const path = (req.url ?? "").split("?")[0] ?? "";
        if (MODEL_PATHS.includes(path)) {
            return serveModelPath(authenticated, path, req, res);
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            return servePlainService(authenticated, req, res);
        }
        if (path === MODELS_PATH && req.method === "GET") {
            return Promise.resolve(
                listModels(authenticated.cfg, authenticated.caller.organisation, authenticated.id, res),
            );
        }
        return Promise.resolve(Left(refusalOf(path === MODELS_PATH ? "method-not-allowed" : "not-found")));
    };

    const refuse = (id: RequestId, res: ServerResponse, refusal: Refusal): void => {
        const { kind } = refusal;
        ctx.metrics.count("azureshunt_refusals_total", "Requests refused, by kind of error.", { kind });
        parts.dispatch.trace.add(id, "refused", { kind, ran: refusal.ran, detail: refusal.detail });
        logger.info({ requestId: id, kind, ran: refusal.ran }, "Request refused.");
        sendRefusal(res, id, refusal);
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const id = randomUUID() as string as RequestId;
        try {
            const served = await authenticate(req, id).caseOf<Promise<Either<Refusal, void>>>({
                Left: refusal => Promise.resolve(Left(refusal)),
                Right: authenticated => route(authenticated, req, res),
            });
            served.ifLeft(refusal => refuse(id, res, refusal));
        }
        catch (err) {
            logger.error({ requestId: id, err }, "Request failed: internal error.");
            refuse(id, res, refusalOf("internal"));
        }
    };

    return (req, res) => void serve(req, res);
}
