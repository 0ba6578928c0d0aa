import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

import { z } from "zod";

import { HttpError } from "./HttpError.js";
import { readJson } from "./readJson.js";
import type { Route } from "./Route.js";
import { sendJson } from "./sendJson.js";
import { silenceSocket } from "./silenceSocket.js";
import type { Switches } from "./Switches.js";

const KEEP_ALIVE_MS = 120_000;

/** What a stand-in serves, and on which address. */
type ServerOptions = {
    readonly host: string;
    /** 0 chooses a free port. */
    readonly port: number;
    readonly routes: readonly Route[];
    readonly switches: Switches<object>;
    /** Called by the switch `silent`, instead of silencing the connections of this server. */
    readonly silence?: () => void;
};

const controlRoutes = (
    switches: Switches<object>,
    sockets: ReadonlySet<Socket>,
    silence: (() => void) | undefined,
): readonly Route[] => [
    {
        method: "GET",
        pattern: /^\/control$/,
        handle: ({ res }) => sendJson(res, 200, switches.current()),
    },
    {
        method: "POST",
        pattern: /^\/control$/,
        handle: async ({ req, res }) => {
            const { exit, silent, ...changes } = await readJson(req, z.record(z.unknown()));
            switches.update(changes);
            if (silent === true && silence !== undefined) {
                silence();
            }
            if (silent === true && silence === undefined) {
                [...sockets].filter(socket => socket !== req.socket).forEach(silenceSocket);
            }
            if (exit === true) {
                res.on("finish", () => process.exit(0));
            }
            sendJson(res, 200, switches.current());
        },
    },
];

const sendError = (res: ServerResponse, err: unknown): void => {
    if (res.headersSent || res.destroyed) {
        res.destroy();
        return;
    }
    if (err instanceof HttpError) {
        sendJson(res, err.status, { error: { message: err.message }, ...err.details }, err.headers);
        return;
    }
    sendJson(res, 500, { error: { message: String(err) } });
};

const routeRequest = async (routes: readonly Route[], req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const url = new URL(req.url ?? "/", "http://standin");
    const method = req.method ?? "GET";
    const matches = routes
        .filter(route => route.method === undefined || route.method === method)
        .map(route => ({ route, match: route.pattern.exec(url.pathname) }));
    const found = matches.find(({ match }) => match !== null);
    if (found === undefined) {
        throw new HttpError(404, `No such path: ${method} ${url.pathname}`);
    }
    const params = (found.match ?? []).slice(1).map(decodeURIComponent);
    await found.route.handle({ req, res, method, path: url.pathname + url.search, query: url.searchParams, params });
};

/**
 * Serves routes and `/control` over HTTP.
 *
 * @returns the base URL, once the server listens
 */
export function serve(options: ServerOptions): Promise<string> {
    const sockets = new Set<Socket>();
    const routes = [...controlRoutes(options.switches, sockets, options.silence), ...options.routes];
    const server = createServer((req, res) => {
        routeRequest(routes, req, res).catch((err: unknown) => sendError(res, err));
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.requestTimeout = 0;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("close", () => sockets.delete(socket));
    });
    return new Promise((resolve, reject) => {
        server.on("error", reject);
        server.listen(options.port, options.host, () => {
            const { port } = server.address() as AddressInfo;
            resolve(`http://${options.host}:${port}`);
        });
    });
}
