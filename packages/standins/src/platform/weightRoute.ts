import type { Clock } from "../common/Clock.js";
import { HttpError } from "../common/HttpError.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import { sleep } from "../common/sleep.js";
import type { Switches } from "../common/Switches.js";
import type { PlatformSwitches } from "./PlatformSwitches.js";
import { reserveTransfer } from "./reserveTransfer.js";

/** Creates the weight store's route. It answers when the transfer would have ended; the body only names the weights. */
export function weightRoute(clock: Clock, switches: Switches<PlatformSwitches>): Route {
    let busyUntil = 0;
    return {
        method: "GET",
        pattern: /^\/weights\/([^/]+)\/([^/]+)$/,
        handle: async ({ res, params }) => {
            const [model = "", version = ""] = params;
            if (switches.current().missingWeights.includes(`${model}@${version}`)) {
                throw new HttpError(404, "No such weights.");
            }
            const transfer = reserveTransfer(busyUntil, switches.current().weightsMs, clock.now());
            busyUntil = transfer.busyUntil;
            await sleep(clock, transfer.waitMs);
            sendJson(res, 200, { model, version });
        },
    };
}
