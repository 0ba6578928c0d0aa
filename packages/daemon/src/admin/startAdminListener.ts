import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";

import type { Refusal, RequestId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { authenticateAdmin } from "@azureshunt/organisation";
import { parseReleaseNote } from "@azureshunt/release";

import { readBody } from "../gateway/readBody.js";
import { sendRefusal } from "../gateway/sendRefusal.js";
import { serveHealth } from "../gateway/serveHealth.js";
import { startHttpServer } from "../gateway/startHttpServer.js";
import type { Stopping } from "../Stopping.js";
import type { AdminParts } from "./AdminParts.js";

const BEARER = /^Bearer +([\x21-\x7e]+)$/i;

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/**
 * Starts the administration listener.
 *
 * @throws Error when the address cannot be bound
 */
export async function startAdminListener(parts: AdminParts): Promise<Stopping> {
    const { ctx, release } = parts;
    const { settings } = ctx;

    const postRelease = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const body = await readBody(req, settings.limits.bodyBytes);
        const note = body.chain(bytes =>
            parseReleaseNote(bytes.toString("utf8")).mapLeft(faults => refusalOf("bad-request", JSON.stringify(faults)))
        );
        await note.caseOf<Promise<void>>({
            Left: refused => Promise.resolve(refuse(res, refused)),
            Right: async valid => sendJson(res, 200, await release.accept(valid.value) ?? { kind: "unknown" }),
        });
    };

    const refuse = (res: ServerResponse, refused: Refusal): void =>
        sendRefusal(res, randomUUID() as string as RequestId, refused);

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        if (serveHealth(req, res, { isDraining: parts.isDraining, isReady: () => release.current() !== undefined })) {
            return;
        }
        if (req.url === "/metrics") {
            res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
            res.end(ctx.metrics.render());
            return;
        }
        const key = BEARER.exec(req.headers.authorization ?? "")?.[1];
        const admin = authenticateAdmin(release.current(), settings.adminKeyDigests, key);
        if (admin.isLeft()) {
            refuse(res, admin.extract() as Refusal);
            return;
        }
        if (req.method === "POST" && req.url === "/admin/v1/releases") {
            await postRelease(req, res);
            return;
        }
        if (req.method === "GET" && req.url === "/admin/v1/status") {
            sendJson(res, 200, { vm: settings.vm, revision: release.current()?.revision ?? 0 });
            return;
        }
        refuse(res, refusalOf("not-found"));
    };

    const server = await startHttpServer({
        address: settings.listen.admin,
        tls: settings.tls.admin,
        limits: settings.limits,
        handler: (req, res) => {
            serve(req, res).catch((err: unknown) => {
                ctx.logger("admin").error({ err }, "Request failed.");
                refuse(res, refusalOf("internal"));
            });
        },
    });
    return {
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
