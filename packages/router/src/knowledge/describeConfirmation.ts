import type { Millis } from "@azureshunt/core";

import type { ConfirmationSource } from "./ConfirmationSource.js";
import type { DeclaredState } from "./DeclaredState.js";

/** Fields of log lines that tell which configuration a decision was based on. */
type ConfirmationFields = {
    readonly revision: number | undefined;
    /** Age of the confirmation that `revision` is the newest one; `undefined` if there is none. */
    readonly confirmedMs: Millis | undefined;
    readonly confirmedBy: ConfirmationSource | undefined;
    /** A higher revision that is known to exist and has not been read; `undefined` if there is none. */
    readonly newestRevision: number | undefined;
};

/**
 * Returns which configuration a decision was based on.
 *
 * @param at time of the decision, on the VM's monotonic clock
 */
export function describeConfirmation(
    { configuration, newestRevision, confirmedAt, confirmedBy }: DeclaredState,
    at: Millis,
): ConfirmationFields {
    const revision = configuration?.revision;
    return {
        revision,
        confirmedMs: confirmedAt === -Infinity ? undefined : Math.round(at - confirmedAt),
        confirmedBy,
        newestRevision: newestRevision > (revision ?? -1) ? newestRevision : undefined,
    };
}
