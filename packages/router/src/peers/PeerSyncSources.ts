import type { Clock } from "@azureshunt/core";

import type { createAllowances } from "../allowance/createAllowances.js";
import type { startOrders } from "../fleet/startOrders.js";
import type { createUnreadBodies } from "../flow/createUnreadBodies.js";
import type { startDeclarations } from "../knowledge/startDeclarations.js";
import type { createAvailability } from "../placement/createAvailability.js";
import type { createDemand } from "../placement/createDemand.js";
import type { createEndpointLimits } from "../placement/createEndpointLimits.js";
import type { createPrefixIndex } from "../placement/createPrefixIndex.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import type { createQuarantine } from "../quarantine/createQuarantine.js";
import type { startRegistry } from "../registry/startRegistry.js";
import type { createRollouts } from "../rollout/createRollouts.js";
import type { createMembership } from "./createMembership.js";
import type { createPeerLoad } from "./createPeerLoad.js";
import type { createRelayBuffer } from "./createRelayBuffer.js";

/** The parts of a router whose state is sent to peers, and which apply what peers send. */
export type PeerSyncSources = {
    readonly clock: Clock;
    readonly declarations: ReturnType<typeof startDeclarations>;
    readonly allowances: ReturnType<typeof createAllowances>;
    readonly endpointTable: EndpointTable;
    readonly prefixIndex: ReturnType<typeof createPrefixIndex>;
    readonly demand: ReturnType<typeof createDemand>;
    readonly orders: ReturnType<typeof startOrders>;
    readonly availability: Pick<ReturnType<typeof createAvailability>, "rows" | "applyBeacon">;
    readonly endpointLimits: ReturnType<typeof createEndpointLimits>;
    readonly quarantine: ReturnType<typeof createQuarantine>;
    readonly unreadBodies: Pick<ReturnType<typeof createUnreadBodies>, "stalledBytes" | "recordDeath">;
    readonly registry: ReturnType<typeof startRegistry>;
    readonly peerLoad: ReturnType<typeof createPeerLoad>;
    readonly membership: ReturnType<typeof createMembership>;
    readonly relayBuffer: ReturnType<typeof createRelayBuffer>;
    readonly rollouts: ReturnType<typeof createRollouts>;
};
