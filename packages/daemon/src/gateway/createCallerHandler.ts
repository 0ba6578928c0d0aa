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
const PRIORITIES = /^[0-9]$/;
const MILLIS = /^[1-9][0-9]{0,6}$/;

/** A request of a caller whose key is valid. */
type Authenticated = { readonly cfg: Configuration; readonly caller: Caller; readonly id: RequestId; };

/**
 * Makes the function that answers callers' requests; each ends in an answer or in a refusal from the closed list.
 *
 * @param isShutDown whether the time that running requests were given is over
 */
export function createCallerHandler(
    parts: GatewayParts,
    isShutDown: () => boolean,
): (req: IncomingMessage, res: ServerResponse) => void {
    const { ctx } = parts.dispatch;
    const logger = ctx.logger("gateway");
    const { limits } = ctx.settings;

    const tooStale = (cfg: Configuration, caller: Caller): boolean => {
        const bound = cfg.organisations.get(caller.organisation)?.maxStalenessSeconds;
        return bound !== undefined && ctx.release.staleness() > bound * 1_000;
    };

    const authenticate = (req: IncomingMessage, id: RequestId): Either<Refusal, Authenticated> => {
        const cfg = ctx.release.current();
        if (isShutDown()) {
            return Left(refusalOf("shutting-down"));
        }
        if (cfg === undefined) {
            return Left(refusalOf("no-configuration"));
        }
        return parts.authenticate(cfg, req.headers.authorization)
            .chain(caller =>
                tooStale(cfg, caller) ? Left(refusalOf("configuration-too-old")) : Right({ cfg, caller, id })
            );
    };

    const callOf = (who: Authenticated, req: IncomingMessage, res: ServerResponse, target: Call["target"]): Call => {
        const now = ctx.clock.now();
        const deadline = firstValue(req.headers["x-deadline-ms"]) ?? "";
        const priority = firstValue(req.headers["x-priority"]) ?? "";
        parts.dispatch.trace.add(who.id, "arrived", { organisation: who.caller.organisation, target: target.kind });
        const gone = new AbortController();
        res.once("close", () => gone.abort());
        return {
            id: who.id,
            organisation: who.caller.organisation,
            keyId: who.caller.keyId,
            arrivedAt: now,
            deadline: now + (MILLIS.test(deadline) ? Number(deadline) : limits.deadlineMs),
            priority: PRIORITIES.test(priority) ? Number(priority) : DEFAULT_PRIORITY,
            target,
            signal: gone.signal,
        };
    };

    const serveModelPath = async (
        who: Authenticated,
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
            parseModelCall(who.cfg, who.caller.organisation, parts.versionOf, path, bytes)
        );
        return target.caseOf<Promise<Either<Refusal, void>>>({
            Left: refused => Promise.resolve(Left(refused)),
            Right: model => serveModel(parts, callOf(who, req, res, model), model, res),
        });
    };

    const servePlainService = async (
        who: Authenticated,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<Either<Refusal, void>> => {
        const body = await readBody(req, limits.bodyBytes);
        const target = body.chain(bytes => parseServiceCall(who.cfg, who.caller.organisation, req, bytes));
        return target.caseOf<Promise<Either<Refusal, void>>>({
            Left: refused => Promise.resolve(Left(refused)),
            Right: service => serveService(parts, who.cfg, callOf(who, req, res, service), service, res),
        });
    };

    const route = (who: Authenticated, req: IncomingMessage, res: ServerResponse): Promise<Either<Refusal, void>> => {
        const path = (req.url ?? "").split("?")[0] ?? "";
        if (MODEL_PATHS.includes(path)) {
            return serveModelPath(who, path, req, res);
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            return servePlainService(who, req, res);
        }
        if (path === MODELS_PATH && req.method === "GET") {
            return Promise.resolve(listModels(who.cfg, who.caller.organisation, who.id, res));
        }
        return Promise.resolve(Left(refusalOf(path === MODELS_PATH ? "method-not-allowed" : "not-found")));
    };

    const refuse = (id: RequestId, res: ServerResponse, refused: Refusal): void => {
        const { kind } = refused;
        ctx.metrics.count("azureshunt_refusals_total", "Requests refused, by kind of error.", { kind });
        parts.dispatch.trace.add(id, "refused", { kind, ran: refused.ran, detail: refused.detail });
        logger.info({ requestId: id, kind, ran: refused.ran }, "Request refused.");
        sendRefusal(res, id, refused);
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const id = randomUUID() as string as RequestId;
        try {
            const served = await authenticate(req, id).caseOf<Promise<Either<Refusal, void>>>({
                Left: refused => Promise.resolve(Left(refused)),
                Right: who => route(who, req, res),
            });
            served.ifLeft(refused => refuse(id, res, refused));
        }
        catch (err) {
            logger.error({ requestId: id, err }, "Request failed.");
            refuse(id, res, refusalOf("internal"));
        }
    };

    return (req, res) => void serve(req, res);
}
