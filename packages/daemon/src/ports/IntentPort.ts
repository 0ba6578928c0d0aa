import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "./Call.js";
import type { IntentAdmission } from "./IntentAdmission.js";

/** Decides whether a request that may not be repeated may be dispatched. */
export type IntentPort = {
    /** Settles once this daemon knows whether its intent is the first one of the key. */
    readonly admit: (call: Call) => Promise<Either<Refusal, IntentAdmission>>;
};
