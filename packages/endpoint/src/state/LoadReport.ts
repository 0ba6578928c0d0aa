import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

/** Load reported by an endpoint. It may already be old when it arrives. */
export type LoadReport = {
    readonly incarnation: Incarnation;
    readonly running: number;
    readonly waiting: number;
    readonly waitingTokens: Tokens;
    /** When the endpoint measured the load, estimated on the clock of this process. */
    readonly measuredAt: Millis;
};
