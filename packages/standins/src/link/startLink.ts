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
import { openForward } from "./openForward.js";
import { Target } from "./Target.js";

const RouteBody = z.strictObject({ target: Target, port: z.number().int().min(0).default(0) });

type LinkRoute = {
    readonly forward: Awaited<ReturnType<typeof openForward>>;
    readonly switches: Switches<LinkSwitches>;
};

/** Where the link is controlled, and where its first routes listen. */
type StartedLink = { readonly url: string; readonly routes: Readonly<Record<string, string>>; };

/** Starts a link: a forwarder of TCP connections that cuts, delays or silences them. */
export async function startLink(flags: LinkFlags): Promise<StartedLink> {
    const links = new Map<string, LinkRoute>();

    const addresses = (): Readonly<Record<string, string>> =>
        Object.fromEntries([...links].map(([name, { forward }]) => [name, forward.address]));
    const open = async (name: string, target: Target, port: number): Promise<void> => {
        const switches = createSwitches(LinkSwitches, ({ cut }) => {
            if (cut) {
                links.get(name)?.forward.destroyAll();
            }
        });
        const forward = await openForward({
            host: flags.host,
            port,
            target,
            clock: systemClock,
            switches: switches.current,
        });
        links.set(name, { forward, switches });
    };
    const ofRoute = (name: string): LinkRoute => {
        const link = links.get(name);
        if (link === undefined) {
            throw new HttpError(404, `No such route: ${name}`);
        }
        return link;
    };
    const controlOne = async ({ req, res, params }: HttpRequest): Promise<void> => {
        const { forward, switches } = ofRoute(params[0] ?? "");
        const { silent, ...changes } = await readJson(req, z.record(z.unknown()));
        switches.update(changes);
        if (silent === true) {
            forward.silence();
        }
        sendJson(res, 200, switches.current());
    };
    const addRoute = async ({ req, res, params }: HttpRequest): Promise<void> => {
        const name = params[0] ?? "";
        if (links.has(name)) {
            throw new HttpError(409, `The route is open already: ${name}`);
        }
        const { target, port } = await readJson(req, RouteBody);
        await open(name, target, port);
        sendJson(res, 200, { address: addresses()[name] });
    };
    const all: Switches<LinkSwitches> = createSwitches(
        LinkSwitches,
        next => links.forEach(({ switches }) => switches.update(next)),
    );
    const parsed = flags.route.map(text => {
        const [name = "", target = ""] = text.split("=");
        return { name, target: Target.parse(target) };
    });
    await Promise.all(parsed.map(({ name, target }) => open(name, target, 0)));
    const routes: readonly Route[] = [
        { method: "GET", pattern: /^\/health$/, handle: ({ res }) => sendJson(res, 200, { ok: true }) },
        { method: "GET", pattern: /^\/routes$/, handle: ({ res }) => sendJson(res, 200, { routes: addresses() }) },
        { method: "PUT", pattern: /^\/routes\/([^/]+)$/, handle: addRoute },
        { method: "POST", pattern: /^\/routes\/([^/]+)\/control$/, handle: controlOne },
    ];
    const silence = (): void => links.forEach(({ forward }) => forward.silence());
    const url = await serve({ ...flags, switches: all, routes, silence });
    return { url, routes: addresses() };
}
