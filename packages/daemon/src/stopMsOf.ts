import type { Millis } from "@azureshunt/core";

import type { Settings } from "./Settings.js";

/** Time to hand allowances over, and to end calls to the platform and to engines, once all requests have ended. */
const MARGIN_MS = 8_000;

/** Returns the time within which a daemon stops. */
export function stopMsOf({ announceMs, drainMs }: Settings["limits"]): Millis {
    return announceMs + drainMs + MARGIN_MS;
}
