import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";

/** An endpoint whose entry is present or has just disappeared. */
type Registered = {
    readonly entry: EndpointEntry;
    /** Set while the entry is missing but may have expired only because the registry was unavailable. */
    readonly missingSince: Millis | undefined;
};

/** The endpoints according to the registry. */
export type Registry = {
    readonly endpoints: ReadonlyMap<EndpointName, Registered>;
    /** Whether the registry has been read at all. */
    readonly isKnown: boolean;
    /** When the registry last answered. */
    readonly answeredAt: Millis;
    /**
     * As of when the store was read for these entries. Confirmations by digest move `answeredAt` alone, as they leave the
     * versions of weights out.
     */
    readonly readAsOf: Millis;
    /** Since when it has answered without a gap. */
    readonly answeringSince: Millis;
};
