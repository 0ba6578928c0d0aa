import type { SuspectState } from "@azureshunt/request";

import type { SuspectEvent } from "./SuspectEvent.js";

/** What is known of suspects, as the parts of this folder read and change it. */
export type SuspectAggregate = {
    readonly state: () => SuspectState;
    /** Settles when the event has been taken in. */
    readonly tell: (event: SuspectEvent) => Promise<void>;
    readonly stop: () => void;
};
