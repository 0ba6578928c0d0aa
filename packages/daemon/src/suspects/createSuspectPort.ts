import { Right } from "purify-ts";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { SuspectPort } from "../ports/SuspectPort.js";

/** Lets every request run. */
export function createSuspectPort(ctx: DaemonContext): SuspectPort & { readonly stop: () => void; } {
    ctx.logger("suspects").debug("No request is suspected.");
    return {
        check: call => Right(call),
        mayShare: () => true,
        running: () => () => undefined,
        stop: () => undefined,
    };
}
