import { createSwitches } from "../common/createSwitches.js";
import type { Route } from "../common/Route.js";
import { seededRandom } from "../common/seededRandom.js";
import { sendJson } from "../common/sendJson.js";
import { serve } from "../common/serve.js";
import { systemClock } from "../common/systemClock.js";
import { injectPartFaults } from "./injectPartFaults.js";
import { logRoutes } from "./logRoutes.js";
import type { PlatformFlags } from "./PlatformFlags.js";
import { PlatformSwitches } from "./PlatformSwitches.js";
import { vmRoutes } from "./vmRoutes.js";
import { weightRoute } from "./weightRoute.js";

/**
 * Starts the platform: its log, its list of VMs and its weight store.
 *
 * @returns the base URL
 */
export function startPlatform(flags: PlatformFlags): Promise<string> {
    const clock = systemClock;
    const switches = createSwitches(PlatformSwitches);
    const { retainCount, retainMs, appendsPerSecond, latencyMs, vmLagMs, weightsMs } = flags;
    switches.update({ retainCount, retainMs, appendsPerSecond, latencyMs, vmLagMs, weightsMs });
    const random = seededRandom(flags.seed);
    const vms = vmRoutes(clock, switches);
    const health: Route = {
        method: "GET",
        pattern: /^\/health$/,
        handle: ({ res }) => sendJson(res, 200, { ok: true }),
    };
    return serve({
        ...flags,
        switches,
        routes: [
            health,
            ...logRoutes({ clock, random, switches }).map(route => injectPartFaults("log", switches, clock, route)),
            injectPartFaults("vms", switches, clock, vms.read),
            injectPartFaults("weights", switches, clock, weightRoute(clock, switches)),
            ...vms.edit,
        ],
    });
}
