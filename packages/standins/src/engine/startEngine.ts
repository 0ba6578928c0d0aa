import type { HttpRequest } from "../common/HttpRequest.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import { serve } from "../common/serve.js";
import { systemClock } from "../common/systemClock.js";
import { cacheRoutes } from "./cacheRoutes.js";
import { completionRoutes } from "./completionRoutes.js";
import { createEngine } from "./createEngine.js";
import type { Engine } from "./Engine.js";
import type { EngineFlags } from "./EngineFlags.js";
import { kvRoutes } from "./kvRoutes.js";
import { orderRoutes } from "./orderRoutes.js";

const statusRoutes = ({ history, ready, reportedLoad }: Engine): readonly Route[] => [
    {
        method: "GET",
        pattern: /^\/health$/,
        handle: ({ res }) => sendJson(res, ready() ? 200 : 503, { ready: ready() }),
    },
    {
        method: "GET",
        pattern: /^\/runs$/,
        handle: ({ res }) => sendJson(res, 200, { runs: history.entries().filter(({ kind }) => kind === "run") }),
    },
    {
        method: "GET",
        pattern: /^\/history$/,
        handle: ({ res }: HttpRequest) => sendJson(res, 200, { entries: history.entries() }),
    },
    { method: "GET", pattern: /^\/v1\/load$/, handle: ({ res }) => sendJson(res, 200, reportedLoad()) },
];

/**
 * Starts a model engine.
 *
 * @returns the base URL
 */
export function startEngine(flags: EngineFlags): Promise<string> {
    const engine = createEngine(flags, systemClock);
    const routes = [
        ...statusRoutes(engine),
        ...completionRoutes(engine),
        ...cacheRoutes(engine),
        ...orderRoutes(engine),
        ...kvRoutes(engine),
    ];
    return serve({ ...flags, switches: engine.switches, routes });
}
