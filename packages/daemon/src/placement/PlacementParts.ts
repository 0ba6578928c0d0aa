import type { EndpointName, Millis } from "@azureshunt/core";
import type { PrefixIndex } from "@azureshunt/endpoint";

import type { ChoiceLog } from "./ChoiceLog.js";
import type { Chooser } from "./Chooser.js";
import type { ComputingPieces } from "./ComputingPieces.js";
import type { EndpointBook } from "./EndpointBook.js";
import type { FetchCost } from "./FetchCost.js";
import type { fetchPieces } from "./fetchPieces.js";
import type { PlacementMessage } from "./PlacementMessage.js";
import type { placementMetrics } from "./placementMetrics.js";
import type { shareDispatches } from "./shareDispatches.js";
import type { WaitingCalls } from "./WaitingCalls.js";

/** What the placement model works with, and whom it tells. */
export type PlacementParts = {
    readonly book: EndpointBook;
    readonly index: PrefixIndex;
    readonly computing: ComputingPieces;
    readonly waiting: WaitingCalls;
    readonly chooser: Chooser;
    readonly choices: ChoiceLog;
    readonly metrics: ReturnType<typeof placementMetrics>;
    readonly now: () => Millis;
    /** Brings what happens to a placement back as a message. */
    readonly tell: (message: PlacementMessage) => void;
    /** Asks an endpoint for its state now. */
    readonly probe: (endpoint: EndpointName) => void;
    /** Starts and stops watching endpoints after a new configuration. */
    readonly configured: (gone: readonly EndpointName[]) => void;
    /** Asks an endpoint for its whole cache. */
    readonly resync: (endpoint: EndpointName, isNewRun: boolean) => void;
    /** Tells other VMs of an endpoint's observed speed. */
    readonly shareSpeed: ReturnType<typeof shareDispatches>["shareSpeed"];
    readonly fetches: FetchCost;
    /** Makes an engine fetch cached pieces; gives how many leading pieces it holds then. */
    readonly fetch: (fetch: Parameters<typeof fetchPieces>[1]) => Promise<number>;
    /** Tells other VMs what this one sends to an endpoint. */
    readonly announce: ReturnType<typeof shareDispatches>["announce"];
};
