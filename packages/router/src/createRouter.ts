import { stopParts } from "@azureshunt/lifecycle";
import type { ManagedPart } from "@azureshunt/lifecycle";
import type { Logger } from "pino";

import type { Router } from "./Router.js";
import type { RouterSettings } from "./RouterSettings.js";
import type { createRequestQueues } from "./serve/createRequestQueues.js";
import type { startCallerServer } from "./serve/startCallerServer.js";

type RunningParts = {
    /** Settings with which it was started. */
    readonly settings: RouterSettings;
    /** Settings in force, and whether it stops; shared with its parts. */
    readonly state: { isDraining: boolean; settings: RouterSettings; };
    /** In the order in which they stop. */
    readonly managedParts: readonly ManagedPart[];
    readonly requestQueues: Pick<ReturnType<typeof createRequestQueues>, "close">;
    readonly callerServer: Pick<Awaited<ReturnType<typeof startCallerServer>>, "refuse" | "cut">;
    readonly logger: Logger;
};

/** Creates what a life cycle does with a router whose parts run. */
export function createRouter(parts: RunningParts): Router {
    const { settings, state, managedParts, requestQueues, callerServer, logger } = parts;
    const shutDown = async (): Promise<void> => {
        state.isDraining = true;
        logger.info("Stopping.");
        requestQueues.close();
        await stopParts(managedParts, (part, err) => logger.error({ part, err }, "Stopping a part failed."));
        logger.info("Stopped.");
    };
    const refuse = (): void => {
        state.isDraining = true;
        requestQueues.close();
        callerServer.refuse();
    };
    const reload = (next: RouterSettings): void => {
        const isFixed = JSON.stringify(next.listen) === JSON.stringify(settings.listen) && next.vm === settings.vm;
        state.settings = next;
        logger.info(
            { isFixed },
            isFixed ? "Settings reloaded." : "Settings reloaded; changes of names and addresses need a restart.",
        );
    };
    return { shutDown, refuse, cut: callerServer.cut, stopMs: () => state.settings.stopMs, reload };
}
