import type { Clock } from "../common/Clock.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import type { Route } from "../common/Route.js";
import { sleep } from "../common/sleep.js";
import type { Switches } from "../common/Switches.js";
import type { PlatformSwitches } from "./PlatformSwitches.js";

/** Wraps a route of one part of the platform so that it fails or is delayed as the switches say. */
export function injectPartFaults(
    part: PlatformSwitches["downParts"][number],
    switches: Switches<PlatformSwitches>,
    clock: Clock,
    route: Route,
): Route {
    const handle = async (request: HttpRequest): Promise<void> => {
        const { down, downParts, hang, latencyMs } = switches.current();
        if (down || downParts.includes(part)) {
            request.req.socket.destroy();
            return;
        }
        if (hang) {
            return;
        }
        await sleep(clock, latencyMs);
        await route.handle(request);
    };
    return { ...route, handle };
}
