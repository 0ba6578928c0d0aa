import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";

/** An endpoint whose entry is there, or has just gone. */
type Registered = {
    readonly entry: EndpointEntry;
    /** Set while an entry is missing that may have lapsed only because the registry was away. */
    readonly missingSince: Millis | undefined;
};

/** The endpoints, as the registry tells. */
export type Registry = {
    readonly endpoints: ReadonlyMap<EndpointName, Registered>;
    /** Whether the registry has been read at all. */
    readonly isKnown: boolean;
    /** When the registry last answered, and since when it has done so without a gap. */
    readonly answeredAt: Millis;
    readonly answeringSince: Millis;
};
