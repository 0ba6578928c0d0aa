import type { EndpointName, Millis } from "@azureshunt/core";
import type { PrefixIndex } from "@azureshunt/endpoint";

import type { ChoiceLog } from "./ChoiceLog.js";
import type { Chooser } from "./Chooser.js";
import type { ComputingPieces } from "./ComputingPieces.js";
import type { EndpointTable } from "./EndpointTable.js";
import type { FetchCost } from "./FetchCost.js";
import type { fetchPieces } from "./fetchPieces.js";
import type { PlacementMessage } from "./PlacementMessage.js";
import type { placementMetrics } from "./placementMetrics.js";
import type { shareDispatches } from "./shareDispatches.js";
import type { WaitingCalls } from "./WaitingCalls.js";

/** Dependencies of a `PlacementModel`. */
export type PlacementParts = {
    readonly endpointTable: EndpointTable;
    readonly index: PrefixIndex;
    readonly computing: ComputingPieces;
    readonly waiting: WaitingCalls;
    readonly chooser: Chooser;
    readonly choices: ChoiceLog;
    readonly metrics: ReturnType<typeof placementMetrics>;
    readonly now: () => Millis;
    /** Sends a message to the placement actor. */
    readonly post: (message: PlacementMessage) => void;
    /** Polls the state of an endpoint now. */
    readonly probe: (endpoint: EndpointName) => void;
    /** Starts and stops watches of endpoints after a new configuration. */
    readonly updateWatches: (gone: readonly EndpointName[]) => void;
    /** Requests the complete cache of an endpoint. */
    readonly resync: (endpoint: EndpointName, isNewIncarnation: boolean) => void;
    /** Sends an endpoint's observed speed to other VMs. */
    readonly shareSpeed: ReturnType<typeof shareDispatches>["shareSpeed"];
    readonly fetches: FetchCost;
    /** Makes an engine fetch cached pieces, and returns how many leading pieces it then holds. */
    readonly fetch: (fetch: Parameters<typeof fetchPieces>[1]) => Promise<number>;
    /** Sends to other VMs what this one dispatches to an endpoint. */
    readonly shareDispatch: ReturnType<typeof shareDispatches>["shareDispatch"];
};
