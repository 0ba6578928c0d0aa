import type { Millis, ModelName, ServiceName } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { RolloutState } from "../rollout/RolloutState.js";

/** One record that the operators declared. */
type Declaration =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    | { readonly kind: "weights"; readonly model: ModelName; readonly version: number; }
    | {
        readonly kind: "rollout";
        readonly service: ServiceName;
        /** Software version to which the service's traffic is to be moved. */
        readonly version: string;
        readonly durationMs: Millis;
    }
    /** A key that the router does not use. */
    | { readonly kind: "other"; };

/** The status of a rollout in the store. */
type RolloutStatus = {
    readonly service: ServiceName;
    readonly version: string;
    readonly state: RolloutState;
};

/** Topics of the operators' declarations and the endpoints' registry entries in the store, and their decoders. */
export type DirectoryWire = {
    readonly declarationsTopic: string;
    readonly registryTopic: string;
    /** Topic in which this system tells operators how far rollouts have got. */
    readonly statusTopic: string;
    readonly encodeRolloutStatus: (status: RolloutStatus) => { readonly key: string; readonly value: Buffer; };
    /** Returns undefined if the record is no readable status of a rollout. */
    readonly decodeRolloutStatus: (key: string, value: Buffer) => RolloutStatus | undefined;
    /** Both decoders return Left with the fault if the record cannot be decoded. */
    readonly decodeDeclaration: (key: string, value: Buffer) => Either<string, Declaration>;
    readonly decodeEntry: (key: string, value: Buffer) => Either<string, EndpointEntry>;
    /** Returns whether two records of one key surely decode to the same entry, for less than it costs to decode one. */
    readonly isRepeatedEntry: (before: Buffer, now: Buffer) => boolean;
};
