import type { Clock, FailureDomain } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { createAllowanceQueue } from "../allowance/createAllowanceQueue.js";
import type { createAllowances } from "../allowance/createAllowances.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { Knowledge } from "../knowledge/Knowledge.js";
import type { createChainMemory } from "../placement/createChainMemory.js";
import type { createDemand } from "../placement/createDemand.js";
import type { EndpointBook } from "../placement/EndpointBook.js";
import type { CallerWire } from "../ports/CallerWire.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { createQuarantine } from "../quarantine/createQuarantine.js";
import type { createRetryBudgets } from "./createRetryBudgets.js";
import type { FreshnessBounds } from "./FreshnessBounds.js";

/** Dependencies of request handling. */
export type ServeParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly knowledge: () => Knowledge;
    readonly book: EndpointBook;
    readonly chains: ReturnType<typeof createChainMemory>;
    readonly allowances: Pick<ReturnType<typeof createAllowances>, "refund">;
    readonly charges: ReturnType<typeof createAllowanceQueue>;
    readonly demand: ReturnType<typeof createDemand>;
    readonly budgets: ReturnType<typeof createRetryBudgets>;
    readonly quarantine: Pick<ReturnType<typeof createQuarantine>, "isStopped" | "broke">;
    readonly agent: EndpointAgent;
    readonly callerWire: CallerWire;
    readonly endpointWire: EndpointWire;
    readonly bounds: () => FreshnessBounds;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Number of VMs that place requests on the endpoints, including this one. */
    readonly choosers: () => number;
    /** Whether a failure domain is silent. */
    readonly isQuiet: (domain: FailureDomain) => boolean;
    /** Checks whether the process was suspended; state received before a suspension is no longer valid. */
    readonly checkPause: () => void;
    readonly isDraining: () => boolean;
};
