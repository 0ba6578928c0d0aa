import type { Millis } from "@azureshunt/core";

import type { Accusation } from "./Accusation.js";
import type { SuspectKey } from "./SuspectKey.js";

/** What endpoints were running when they died. Times are of this VM's monotonic clock. */
export type CrashHistory = {
    /** By suspect: the deaths at which it was running or waiting. */
    readonly accusations: ReadonlyMap<SuspectKey, ReadonlyMap<string, Accusation>>;
    /** Deaths at which an answer had just begun, and when this VM learned of them. */
    readonly begunDeaths: ReadonlyMap<string, Millis>;
    /** When a suspect was last answered, by an endpoint that went on serving. */
    readonly answers: ReadonlyMap<SuspectKey, Millis>;
    /** Suspects that are not run, and until when. */
    readonly quarantined: ReadonlyMap<SuspectKey, Millis>;
};
