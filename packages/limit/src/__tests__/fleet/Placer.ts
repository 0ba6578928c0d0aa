import type { Millis } from "@azureshunt/core";

/** How one VM shares a limit with the others. Endpoints are numbered. */
export type Placer = {
    /** Called when this VM learns of a limit. */
    readonly learn: (endpoint: number, perSecond: number, now: Millis) => void;
    /** Returns the limited endpoints of which one may get a request of this VM now; called once a request. */
    readonly turns: (endpoints: readonly number[], now: Millis) => readonly number[];
    readonly recordSent: (endpoint: number, now: Millis) => void;
    /** What this VM sends to the others; read a few times a second. */
    readonly published: (now: Millis) => readonly number[];
    /** Applies the sum of what was received from the others. */
    readonly receive: (others: readonly number[], now: Millis) => void;
};
