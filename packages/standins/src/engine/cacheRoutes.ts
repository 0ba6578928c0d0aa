import { z } from "zod";

import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import type { CacheEvent } from "./CacheEvent.js";
import type { Engine } from "./Engine.js";

const After = z.coerce.number().int().min(0).default(0);

/** Creates the routes that list what an engine caches and stream the changes. */
export function cacheRoutes({ incarnation, events, cache }: Engine): readonly Route[] {
    const follow = ({ res, query }: HttpRequest): void => {
        const after = After.safeParse(query.get("after") ?? undefined);
        if (!after.success) {
            throw new HttpError(400, "after: use a number");
        }
        res.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        res.flushHeaders();
        const write = (event: CacheEvent): void => {
            res.write(`data: ${JSON.stringify(event)}\n\n`);
        };
        res.on("close", events.subscribe(after.data, write));
    };
    return [
        { method: "GET", pattern: /^\/v1\/cache-events$/, handle: follow },
        {
            method: "GET",
            pattern: /^\/v1\/cache$/,
            handle: ({ res }) =>
                sendJson(res, 200, { incarnation, seq: events.seq(), hashes: [...cache.current().keys()] }),
        },
    ];
}
