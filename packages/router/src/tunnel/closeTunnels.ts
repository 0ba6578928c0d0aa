import type { Logger } from "pino";

import type { serveTunnels } from "./serveTunnels.js";

/** Resets the tunnels that are still open as the time to stop ends. */
export function closeTunnels(
    tunnels: Pick<ReturnType<typeof serveTunnels>, "size" | "closeAll">,
    logger: Pick<Logger, "warn">,
): void {
    if (tunnels.size() > 0) {
        logger.warn({ tunnels: tunnels.size() }, "Reset tunnels of other VMs: still open as the time to stop ended.");
    }
    tunnels.closeAll();
}
