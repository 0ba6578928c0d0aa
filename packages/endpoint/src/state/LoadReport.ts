import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

/** Load that an endpoint reported. It may be old when it arrives. */
export type LoadReport = {
    readonly incarnation: Incarnation;
    readonly running: number;
    readonly waiting: number;
    readonly waitingTokens: Tokens;
    /** When the endpoint measured it, on this process's clock, as well as is known. */
    readonly measuredAt: Millis;
};
