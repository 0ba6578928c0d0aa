import { z } from "zod";

import { createSwitches } from "../common/createSwitches.js";
import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import { serve } from "../common/serve.js";
import type { Switches } from "../common/Switches.js";
import { systemClock } from "../common/systemClock.js";
import type { LinkFlags } from "./LinkFlags.js";
import { LinkSwitches } from "./LinkSwitches.js";
import { openForwarder } from "./openForwarder.js";
import { Target } from "./Target.js";

const RouteBody = z.strictObject({ target: Target, port: z.number().int().min(0).default(0) });

type LinkRoute = {
    readonly forwarder: Awaited<ReturnType<typeof openForwarder>>;
    readonly switches: Switches<LinkSwitches>;
};

/** Base URL that controls the link, and the addresses of its initial routes by name. */
type StartedLink = { readonly url: string; readonly routes: Readonly<Record<string, string>>; };

/** Starts a link: a TCP forwarder that can cut, delay or silence connections. */
export async function startLink(flags: LinkFlags): Promise<StartedLink> {
    const linkRoutes = new Map<string, LinkRoute>();

    const addresses = (): Readonly<Record<string, string>> =>
        Object.fromEntries([...linkRoutes].map(([name, { forwarder }]) => [name, forwarder.address]));
    const open = async (name: string, target: Target, port: number): Promise<void> => {
        const switches = createSwitches(LinkSwitches, ({ cut }) => {
            if (cut) {
                linkRoutes.get(name)?.forwarder.destroyAll();
            }
        });
        const forwarder = await openForwarder({
            host: flags.host,
            port,
            target,
            clock: systemClock,
            switches: switches.current,
        });
        linkRoutes.set(name, { forwarder, switches });
    };
    const routeNamed = (name: string): LinkRoute => {
        const link = linkRoutes.get(name);
        if (link === undefined) {
            throw new HttpError(404, `No such route: ${name}`);
        }
        return link;
    };
    const controlRoute = async ({ req, res, params }: HttpRequest): Promise<void> => {
        const { forwarder, switches } = routeNamed(params[0] ?? "");
        const { silent, ...changes } = await readJson(req, z.record(z.unknown()));
        switches.update(changes);
        if (silent === true) {
            forwarder.silence();
        }
        sendJson(res, 200, switches.current());
    };
    const addRoute = async ({ req, res, params }: HttpRequest): Promise<void> => {
        const name = params[0] ?? "";
        if (linkRoutes.has(name)) {
            throw new HttpError(409, `The route is open already: ${name}`);
        }
        const { target, port } = await readJson(req, RouteBody);
        await open(name, target, port);
        sendJson(res, 200, { address: addresses()[name] });
    };
    const allSwitches: Switches<LinkSwitches> = createSwitches(
        LinkSwitches,
        next => linkRoutes.forEach(({ switches }) => switches.update(next)),
    );
    const initialRoutes = flags.route.map(text => {
        const [name = "", target = ""] = text.split("=");
        return { name, target: Target.parse(target) };
    });
    await Promise.all(initialRoutes.map(({ name, target }) => open(name, target, 0)));
    const routes: readonly Route[] = [
        { method: "GET", pattern: /^\/health$/, handle: ({ res }) => sendJson(res, 200, { ok: true }) },
        { method: "GET", pattern: /^\/routes$/, handle: ({ res }) => sendJson(res, 200, { routes: addresses() }) },
        { method: "PUT", pattern: /^\/routes\/([^/]+)$/, handle: addRoute },
        { method: "POST", pattern: /^\/routes\/([^/]+)\/control$/, handle: controlRoute },
    ];
    const silence = (): void => linkRoutes.forEach(({ forwarder }) => forwarder.silence());
    const url = await serve({ ...flags, switches: allSwitches, routes, silence });
    return { url, routes: addresses() };
}
