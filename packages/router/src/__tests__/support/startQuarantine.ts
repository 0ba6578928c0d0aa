import { createClock } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";

import { createQuarantine } from "../../quarantine/createQuarantine.js";
import { silentLogger } from "./silentLogger.js";

type Parts = Parameters<typeof createQuarantine>[0];

/** Creates the quarantine of a relay that checks no death, unless told otherwise. */
export function startQuarantine(parts: Partial<Parts>): ReturnType<typeof createQuarantine> {
    return createQuarantine({
        clock: createClock(),
        hasDied: () => Promise.resolve(false),
        isRelay: () => true,
        isProber: () => false,
        sendSoon: () => undefined,
        logger: silentLogger,
        metrics: createMetrics(),
        ...parts,
    });
}
