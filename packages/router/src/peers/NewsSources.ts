import type { Clock } from "@azureshunt/core";

import type { createAllowances } from "../allowance/createAllowances.js";
import type { startOrders } from "../fleet/startOrders.js";
import type { startKnowledge } from "../knowledge/startKnowledge.js";
import type { createChainMemory } from "../placement/createChainMemory.js";
import type { createDemand } from "../placement/createDemand.js";
import type { EndpointBook } from "../placement/EndpointBook.js";
import type { createQuarantine } from "../quarantine/createQuarantine.js";
import type { startRegistry } from "../registry/startRegistry.js";
import type { createMembership } from "./createMembership.js";
import type { createOthersLoad } from "./createOthersLoad.js";
import type { createPassing } from "./createPassing.js";

/** The parts of a router whose state is sent to peers, and which apply what peers send. */
export type NewsSources = {
    readonly clock: Clock;
    readonly knowledge: ReturnType<typeof startKnowledge>;
    readonly allowances: ReturnType<typeof createAllowances>;
    readonly book: EndpointBook;
    readonly chains: ReturnType<typeof createChainMemory>;
    readonly demand: ReturnType<typeof createDemand>;
    readonly orders: ReturnType<typeof startOrders>;
    readonly quarantine: ReturnType<typeof createQuarantine>;
    readonly registry: ReturnType<typeof startRegistry>;
    readonly othersLoad: ReturnType<typeof createOthersLoad>;
    readonly membership: ReturnType<typeof createMembership>;
    readonly passing: ReturnType<typeof createPassing>;
};
