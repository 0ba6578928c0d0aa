import type { SuspectState } from "@azureshunt/request";

import type { SuspectEvent } from "./SuspectEvent.js";

/** The state of suspects that the parts of this folder read and change. */
export type SuspectAggregate = {
    readonly state: () => SuspectState;
    /** Settles when the event has been applied. */
    readonly apply: (event: SuspectEvent) => Promise<void>;
    readonly stop: () => void;
};
