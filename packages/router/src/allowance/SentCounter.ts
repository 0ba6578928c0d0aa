import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

import type { Spender } from "./Spender.js";

/** A spender's counter as one of its processes sends it. */
export type SentCounter = {
    readonly spender: Spender;
    /** The process that counts; `undefined` for a sum that this VM adds up itself. */
    readonly incarnation: Incarnation | undefined;
    /** Age of that process; `Infinity` if it is not known, 0 for a sum that this VM adds up itself. */
    readonly upMs: Millis;
    /** All tokens that the process has spent. */
    readonly spent: Tokens;
};
