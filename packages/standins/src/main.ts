import { cac } from "cac";
import type { z } from "zod";

import { CacheFlags } from "./cache/CacheFlags.js";
import { startCache } from "./cache/startCache.js";
import { EngineFlags } from "./engine/EngineFlags.js";
import { startEngine } from "./engine/startEngine.js";
import { LinkFlags } from "./link/LinkFlags.js";
import { startLink } from "./link/startLink.js";
import { PlatformFlags } from "./platform/PlatformFlags.js";
import { startPlatform } from "./platform/startPlatform.js";
import { ServiceFlags } from "./service/ServiceFlags.js";
import { startService } from "./service/startService.js";

const USAGE_EXIT_CODE = 2;

/** What the ready line contains besides `"ready": true`. */
type ReadyInfo = { readonly url: string; readonly routes?: Readonly<Record<string, string>>; };

const exitWithError = (message: string): never => {
    console.error(`standin: ${message}`);
    process.exit(USAGE_EXIT_CODE);
};

const cli = cac("standin");

const addCommand = <Flags>(
    name: string,
    description: string,
    schema: z.ZodType<Flags, z.ZodTypeDef, unknown> & { readonly shape: z.ZodRawShape; },
    start: (flags: Flags) => Promise<ReadyInfo>,
): void => {
    const run = async (options: object): Promise<void> => {
        const given = Object.fromEntries(Object.entries(options).filter(([key]) => key !== "--"));
        const unknown = Object.keys(given).filter(key => !(key in schema.shape));
        if (unknown.length > 0) {
            exitWithError(`unknown flags: ${unknown.join(", ")}; known: ${Object.keys(schema.shape).join(", ")}`);
        }
        const flags = schema.safeParse(given);
        if (!flags.success) {
            return exitWithError(
                flags.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; "),
            );
        }
        const started = await start(flags.data);
        console.log(JSON.stringify({ ready: true, ...started }));
    };
    cli.command(name, description)
        .allowUnknownOptions()
        .action((options: object) => run(options).catch((err: unknown) => exitWithError(String(err))));
};

const withUrl = (url: Promise<string>): Promise<ReadyInfo> => url.then(text => ({ url: text }));

addCommand("platform", "log, list of VMs, weight store", PlatformFlags, flags => withUrl(startPlatform(flags)));
addCommand("engine", "model engine", EngineFlags, flags => withUrl(startEngine(flags)));
addCommand("service", "plain service", ServiceFlags, flags => withUrl(startService(flags)));
addCommand("cache", "KV cache store", CacheFlags, flags => withUrl(startCache(flags)));
addCommand("link", "forwarder of TCP connections", LinkFlags, startLink);

cli.help();
cli.parse();
if (cli.matchedCommand === undefined && cli.options["help"] !== true) {
    exitWithError("no command given; use one of: platform, engine, service, cache, link");
}
