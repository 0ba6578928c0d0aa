import type { ModelName } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** One record that the operators declared. */
type Declaration =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    | { readonly kind: "weights"; readonly model: ModelName; readonly version: number; }
    /** A key that the router does not use. */
    | { readonly kind: "other"; };

/** Topics of the operators' declarations and the endpoints' registry entries in the store, and their decoders. */
export type DirectoryWire = {
    readonly declarationsTopic: string;
    readonly registryTopic: string;
    /** Both decoders return Left with the fault if the record cannot be decoded. */
    readonly decodeDeclaration: (key: string, value: Buffer) => Either<string, Declaration>;
    readonly decodeEntry: (key: string, value: Buffer) => Either<string, EndpointEntry>;
};
