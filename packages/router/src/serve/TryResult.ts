import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { ReservedPlace } from "./ReservedPlace.js";
import type { TryStage } from "./TryStage.js";

/** Outcome of one try. */
export type TryResult = {
    readonly kind: TryOutcome;
    /** The endpoint's complete answer; `undefined` if there is none that can still be sent to the caller. */
    readonly answer: {
        readonly status: number;
        readonly headers: readonly string[];
        readonly body: readonly Buffer[];
    } | undefined;
    /** How far the answer was. */
    readonly stage: TryStage;
    /** Where a stream that this VM has moved goes on. */
    readonly reserved: ReservedPlace | undefined;
};
