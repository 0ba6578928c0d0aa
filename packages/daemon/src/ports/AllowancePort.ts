import type { Millis, OrganisationId, Refusal, Tokens } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Reservation } from "./Reservation.js";

/** Spends the rate and burst of organisations. */
export type AllowancePort = {
    /** Reserves tokens for a request. If the organisation is within its rate, waits for a grant until the deadline. */
    readonly reserve: (
        organisation: OrganisationId,
        tokens: Tokens,
        deadline: Millis,
        signal: AbortSignal,
    ) => Promise<Either<Refusal, Reservation>>;
    /** Ends a reservation with the tokens used; the difference is refunded or carried as debt. */
    readonly settle: (reservation: Reservation, usedTokens: Tokens) => void;
};
