import type { createStreamKeeper } from "@azureshunt/continuation";
import type { Clock, FailureDomain, Tokens } from "@azureshunt/core";
import type { FlowBounds } from "@azureshunt/flow";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { createAllowanceQueue } from "../allowance/createAllowanceQueue.js";
import type { createAllowances } from "../allowance/createAllowances.js";
import type { createEndConfirmation } from "../dispatch/createEndConfirmation.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { createByteBudget } from "../flow/createByteBudget.js";
import type { createHeapBudget } from "../flow/createHeapBudget.js";
import type { createUnreadBodies } from "../flow/createUnreadBodies.js";
import type { DeclaredState } from "../knowledge/DeclaredState.js";
import type { createAvailability } from "../placement/createAvailability.js";
import type { createBrittleServices } from "../placement/createBrittleServices.js";
import type { createDemand } from "../placement/createDemand.js";
import type { createEndpointLimits } from "../placement/createEndpointLimits.js";
import type { createPrefixIndex } from "../placement/createPrefixIndex.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import type { CallerWire } from "../ports/CallerWire.js";
import type { EndpointWire } from "../ports/EndpointWire.js";
import type { createQuarantine } from "../quarantine/createQuarantine.js";
import type { createRollouts } from "../rollout/createRollouts.js";
import type { createDegradation } from "./createDegradation.js";
import type { createFactsWait } from "./createFactsWait.js";
import type { createIgnoredHeaderLog } from "./createIgnoredHeaderLog.js";
import type { createOverloadGuard } from "./createOverloadGuard.js";
import type { createRequestQueues } from "./createRequestQueues.js";
import type { createRetryBudgets } from "./createRetryBudgets.js";
import type { createServiceShares } from "./createServiceShares.js";
import type { FreshnessBounds } from "./FreshnessBounds.js";
import type { RunClaims } from "./RunClaims.js";

/** Dependencies of request handling. */
export type ServeParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly declaredState: () => DeclaredState;
    readonly endpointTable: EndpointTable;
    readonly availability: ReturnType<typeof createAvailability>;
    readonly brittleServices: ReturnType<typeof createBrittleServices>;
    readonly endpointLimits: ReturnType<typeof createEndpointLimits>;
    readonly reportIgnoredHeaders: ReturnType<typeof createIgnoredHeaderLog>;
    readonly prefixIndex: ReturnType<typeof createPrefixIndex>;
    readonly allowances: Pick<ReturnType<typeof createAllowances>, "refund">;
    readonly allowanceQueue: ReturnType<typeof createAllowanceQueue>;
    readonly demand: ReturnType<typeof createDemand>;
    readonly retryBudgets: ReturnType<typeof createRetryBudgets>;
    readonly quarantine: Pick<
        ReturnType<typeof createQuarantine>,
        "isQuarantined" | "admit" | "reportBrokenTry" | "reportAnswered"
    >;
    readonly rollouts: Pick<ReturnType<typeof createRollouts>, "selectorFor" | "continuableAt" | "recordTry">;
    readonly streams: Pick<ReturnType<typeof createStreamKeeper>, "resolve" | "recordFirst" | "selectForNew">;
    readonly agent: EndpointAgent;
    readonly confirmEnd: ReturnType<typeof createEndConfirmation>;
    readonly byteBudget: Pick<
        ReturnType<typeof createByteBudget>,
        "open" | "isExhausted" | "enterBody" | "completeBody" | "bodyRoomInMs" | "recordRead"
    >;
    readonly heapBudget: Pick<ReturnType<typeof createHeapBudget>, "open" | "hasRoomFor" | "hasShare" | "nextReturnMs">;
    readonly unreadBodies: ReturnType<typeof createUnreadBodies>;
    readonly runClaims: RunClaims;
    readonly flowBounds: () => FlowBounds;
    readonly callerWire: CallerWire;
    readonly endpointWire: EndpointWire;
    readonly bounds: () => FreshnessBounds;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Prompt tokens that callers send to all VMs per millisecond. */
    readonly fleetDemand: () => Tokens;
    /** Number of VMs that place requests on the endpoints, including this one. */
    readonly placingVms: () => number;
    /** Whether a failure domain is silent. */
    readonly isDomainSilent: (domain: FailureDomain) => boolean;
    /** Checks whether the process was suspended; state received before a suspension is no longer valid. */
    readonly checkSuspension: () => void;
    readonly factsWait: Pick<ReturnType<typeof createFactsWait>, "decide">;
    readonly isDraining: () => boolean;
    /** Whether this process runs late, so that what it reads may have waited for long. */
    readonly isLagging: () => boolean;
    readonly degradation: ReturnType<typeof createDegradation>;
    readonly serviceShares: ReturnType<typeof createServiceShares>;
    readonly overload: Pick<
        ReturnType<typeof createOverloadGuard>,
        | "enter"
        | "admits"
        | "refusedFractions"
        | "recordAnswer"
        | "shortestAnswerMs"
        | "recordSent"
        | "retryAfterSeconds"
        | "shedEndsInMs"
        | "lagMs"
    >;
    readonly requestQueues: Pick<
        ReturnType<typeof createRequestQueues>,
        "wait" | "hasMoreUrgent" | "recordEnd" | "beginTry"
    >;
};
