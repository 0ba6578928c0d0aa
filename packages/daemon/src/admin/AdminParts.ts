import type { createAllowancePort } from "../allowance/createAllowancePort.js";
import type { createReleasePort } from "../configuration/createReleasePort.js";
import type { createPlacementPort } from "../placement/createPlacementPort.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { TracePort } from "../ports/TracePort.js";

/** What the administration listener shows and changes. */
export type AdminParts = {
    readonly ctx: DaemonContext;
    readonly release: ReturnType<typeof createReleasePort>;
    readonly allowance: ReturnType<typeof createAllowancePort>;
    readonly placement: ReturnType<typeof createPlacementPort>;
    readonly trace: TracePort;
    readonly isDraining: () => boolean;
};
