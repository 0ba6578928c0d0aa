import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { Refusal, RequestId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { authenticateAdmin } from "@azureshunt/organisation";
import { EitherAsync } from "purify-ts";

import { readBody } from "@azureshunt/http";
import { bearerKey } from "../gateway/bearerKey.js";
import { sendRefusal } from "../gateway/sendRefusal.js";
import { serveHealth } from "../gateway/serveHealth.js";
import { startDrainingServer } from "../gateway/startDrainingServer.js";
import type { Stoppable } from "../Stoppable.js";
import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminParts } from "./AdminParts.js";
import { findRoute } from "./findRoute.js";
import { openApi } from "./openApi.js";

const BASE = "http://admin";
/** Longest time for which a stop waits for calls that run. */
const DRAIN_MS = 2_000;
const ignore = (): void => undefined;

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/**
 * Starts the administration listener: health, metrics, and the API under `/admin/v1`.
 *
 * @returns with the bound port, for settings with port 0, where the system chooses it
 * @throws Error if the address cannot be bound
 */
export async function startAdminListener(parts: AdminParts): Promise<Stoppable & { readonly port: number; }> {
    const { ctx, release } = parts;
    const { settings } = ctx;
    const logger = ctx.logger("admin");

    const refuse = (res: ServerResponse, refused: Refusal): void => {
        ctx.metrics.count("azureshunt_admin_refusals_total", "Refused calls of the administration API", {
            kind: refused.kind,
        });
        sendRefusal(res, randomUUID() as string as RequestId, refused);
    };

    const answer = (req: IncomingMessage, url: URL): EitherAsync<Refusal, AdminAnswer> =>
        EitherAsync(async ({ liftEither, fromPromise }) => {
            const key = bearerKey(req.headers.authorization);
            const keyId = await liftEither(authenticateAdmin(release.current(), settings.adminKeyDigests, key));
            if (url.pathname === "/admin/v1/openapi.json") {
                return { status: 200, body: openApi() };
            }
            const { route, params } = await liftEither(findRoute(req.method ?? "", url.pathname));
            const body = await fromPromise(readBody(req, settings.limits.bodyBytes));
            const header = req.headers["idempotency-key"];
            const idempotencyKey = typeof header === "string" ? header : undefined;
            if (route.method !== "GET") {
                logger.info({ keyId, method: route.method, path: url.pathname }, "Administrator requested a change.");
            }
            return await fromPromise(
                route.handle(parts, { params, query: url.searchParams, idempotencyKey, body, keyId }),
            );
        });

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        if (serveHealth(req, res, { isDraining: parts.isDraining, isReady: () => release.current() !== undefined })) {
            return;
        }
        if (req.url === "/metrics") {
            res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
            res.end(ctx.metrics.render());
            return;
        }
        const url = URL.canParse(req.url ?? "", BASE) ? new URL(req.url ?? "", BASE) : undefined;
        if (url === undefined) {
            refuse(res, refusalOf("bad-request", "the path cannot be read"));
            return;
        }
        (await answer(req, url)).caseOf({
            Left: refused => {
                // A handler that throws also ends here; that is an internal error, not a refusal.
                if (refused instanceof Error) {
                    throw refused;
                }
                refuse(res, refused);
            },
            Right: ({ status, body }) => sendJson(res, status, body),
        });
    };

    const { server, drain } = await startDrainingServer({
        address: settings.listen.admin,
        claim: parts.claim,
        tls: settings.tls.admin,
        limits: settings.limits,
        drainLog: { portClosed: ignore, ended: ignore, refused: ignore },
        handler: (req, res) => {
            serve(req, res).catch((err: unknown) => {
                logger.error({ err }, "Admin request failed: internal error.");
                refuse(res, refusalOf("internal"));
            });
        },
    });
    const boundAddress = server.address();
    return {
        port: typeof boundAddress === "object" ? boundAddress?.port ?? 0 : 0,
        stop: () => drain(0, DRAIN_MS),
    };
}
