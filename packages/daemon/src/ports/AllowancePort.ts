import type { Millis, OrganisationId, Refusal, Tokens } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Reservation } from "./Reservation.js";

/** Spends organisations' rate and burst. */
export type AllowancePort = {
    /** Takes tokens for a request; waits for a grant where the organisation is inside its rate, up to the deadline. */
    readonly reserve: (
        organisation: OrganisationId,
        tokens: Tokens,
        deadline: Millis,
        signal: AbortSignal,
    ) => Promise<Either<Refusal, Reservation>>;
    /** Ends a reservation with what was really used; the difference is given back or carried as debt. */
    readonly settle: (reservation: Reservation, usedTokens: Tokens) => void;
};
