import type { ModelName } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** One thing that the operators declared. */
type Declaration =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    | { readonly kind: "weights"; readonly model: ModelName; readonly version: number; }
    /** A key that means nothing here. */
    | { readonly kind: "other"; };

/** Where in the store the operators' declarations and the endpoints' entries lie, and how they read. */
export type DirectoryWire = {
    readonly declarationsTopic: string;
    readonly registryTopic: string;
    /** Left with what is wrong, where a record cannot be read. */
    readonly decodeDeclaration: (key: string, value: Buffer) => Either<string, Declaration>;
    readonly decodeEntry: (key: string, value: Buffer) => Either<string, EndpointEntry>;
};
