import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";

/** One record of the registry; without an entry the endpoint has left, or its entry lapsed. */
type RegistryChange = { readonly name: EndpointName; readonly entry: EndpointEntry | undefined; };

/** What the registry says. */
export type RegistryEvent =
    /** All entries that there are. */
    | { readonly kind: "whole"; readonly entries: readonly EndpointEntry[]; }
    /** What changed since the last read, in order. */
    | { readonly kind: "changes"; readonly changes: readonly RegistryChange[]; }
    /** The entries known here were the registry's at this moment, as another VM told. */
    | { readonly kind: "vouched"; readonly asOf: Millis; }
    /** Time has passed. */
    | { readonly kind: "tick"; };
