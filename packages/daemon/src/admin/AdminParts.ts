import type { OrganisationId } from "@azureshunt/core";

import type { createReleasePort } from "../configuration/createReleasePort.js";
import type { createPlacementPort } from "../placement/createPlacementPort.js";
import type { AllowancePort } from "../ports/AllowancePort.js";
import type { Claim } from "../ports/Claim.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { TracePort } from "../ports/TracePort.js";

/** Parts of the daemon that the administration API reads and changes. */
export type AdminParts = {
    readonly ctx: DaemonContext;
    readonly release: ReturnType<typeof createReleasePort>;
    readonly allowance: AllowancePort & {
        /** Returns the state of an organisation's allowance on this VM, `undefined` if there is none. */
        readonly inspect?: (organisation: OrganisationId) => object | undefined;
    };
    readonly placement: Pick<ReturnType<typeof createPlacementPort>, "inspect" | "explain">;
    readonly trace: TracePort;
    readonly isDraining: () => boolean;
    readonly claim: Claim;
};
