import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";

/** One record of the registry. Without an entry, the endpoint has left or its entry has expired. */
type RegistryChange = { readonly name: EndpointName; readonly entry: EndpointEntry | undefined; };

/**
 * A change of what is known of the registry. `readAsOf` is the time as of which the store was read, now if it is omitted: a
 * relay may hand on what it has read before.
 */
export type RegistryEvent =
    /** All current entries. */
    | { readonly kind: "whole"; readonly entries: readonly EndpointEntry[]; readonly readAsOf?: Millis; }
    /** The changes since the last read, in order. */
    | { readonly kind: "changes"; readonly changes: readonly RegistryChange[]; readonly readAsOf?: Millis; }
    /** A peer confirmed that the entries known here were current at this time. */
    | { readonly kind: "vouched"; readonly asOf: Millis; }
    /** The registry has lost its entries; endpoints that are alive register again. */
    | { readonly kind: "restarted"; }
    /** Checks for entries that have expired by now. */
    | { readonly kind: "tick"; };
