import { LRUCache } from "lru-cache";
import { z } from "zod";

import { createSwitches } from "../common/createSwitches.js";
import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { openHistory } from "../common/openHistory.js";
import { readBody } from "../common/readBody.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import { serve } from "../common/serve.js";
import { sleep } from "../common/sleep.js";
import { systemClock } from "../common/systemClock.js";
import type { CacheAccess } from "./CacheAccess.js";
import type { CacheFlags } from "./CacheFlags.js";
import { CacheSwitches } from "./CacheSwitches.js";

const LookupBody = z.object({ hashes: z.array(z.string()) });
const PIECE_PATH = /^\/v1\/kv\/([^/]+)$/;

/**
 * Starts the KV cache store.
 *
 * @returns the base URL
 */
export function startCache(flags: CacheFlags): Promise<string> {
    const clock = systemClock;
    const switches = createSwitches(CacheSwitches);
    switches.update({ latencyMs: flags.latencyMs });
    const history = openHistory<CacheAccess>(flags.history);
    const pieces = new LRUCache<string, Buffer>({ max: flags.maxPieces });

    const injectFaults = (route: Route): Route => ({
        ...route,
        handle: async request => {
            const { down, latencyMs } = switches.current();
            if (down) {
                request.req.socket.destroy();
                return;
            }
            await sleep(clock, latencyMs);
            await route.handle(request);
        },
    });
    const get = ({ res, params }: HttpRequest): void => {
        const hash = params[0] ?? "";
        const bytes = pieces.get(hash);
        history.add({ action: "get", hash, found: bytes !== undefined, at: clock.now() });
        if (bytes === undefined) {
            throw new HttpError(404, "No such piece.");
        }
        res.writeHead(200, { "content-type": "application/octet-stream", "content-length": bytes.length });
        res.end(bytes);
    };
    const put = async ({ req, res, params }: HttpRequest): Promise<void> => {
        const hash = params[0] ?? "";
        pieces.set(hash, await readBody(req));
        history.add({ action: "put", hash, found: true, at: clock.now() });
        sendJson(res, 200, {});
    };
    const lookup = async ({ req, res }: HttpRequest): Promise<void> => {
        const { hashes } = await readJson(req, LookupBody);
        sendJson(res, 200, { have: hashes.filter(hash => pieces.has(hash)) });
    };
    const routes: readonly Route[] = [
        { method: "GET", pattern: /^\/health$/, handle: ({ res }) => sendJson(res, 200, { ok: true }) },
        { method: "POST", pattern: /^\/v1\/kv\/lookup$/, handle: lookup },
        { method: "GET", pattern: PIECE_PATH, handle: get },
        { method: "PUT", pattern: PIECE_PATH, handle: put },
    ];
    const runs: Route = {
        method: "GET",
        pattern: /^\/runs$/,
        handle: ({ res }) => sendJson(res, 200, { runs: history.entries() }),
    };
    return serve({ ...flags, switches, routes: [runs, ...routes.map(injectFaults)] });
}
